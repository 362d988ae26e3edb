// Guards against crashes on damaged files: whatever the text, the result is either rules or at
// least one finding. RC_PARAMS="seed=..." repeats a run; RapidCheck prints its seed on failure.
#include "config/daemonsettings.h"
#include "config/loading.h"
#include "config/temporaryfile.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Bluebellquay;

namespace {

// Fragments that get past the TOML syntax, which random bytes rarely do.
const std::vector<std::string> Fragments = {
    // clang-format off
    "[[", "]", "\"", "'''", "\"\"\"", "=", "#", "\n", "\r", ".", "{", "nan", "-1", "1e999", "0x",
    "\\u", "\xff", "true", "[branch]", "99999999999999999999", "1979-05-27T07:32:00Z", "kind",
    // clang-format on
};

// Erases some text and inserts a fragment, random bytes or other text of the file.
void mutate(std::string &text)
{
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto source = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto erased = *rc::gen::element<std::size_t>(0, 0, 1, 20, 200);
    const auto copied = *rc::gen::inRange<std::size_t>(1, 200);
    const auto inserted =
        *rc::gen::oneOf(rc::gen::elementOf(Fragments), rc::gen::string<std::string>(),
                        rc::gen::just(text.substr(source, copied)), rc::gen::just(std::string()));
    text.replace(position, erased, inserted);
}

std::string mutated(std::string text)
{
    const auto count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i)
        mutate(text);
    return text;
}

// Checks what holds for the findings of every document.
void checkReport(const Findings &findings)
{
    RC_ASSERT(!findings.empty());
    for (const Finding &finding : findings) {
        RC_ASSERT(!finding.message.empty());
        RC_ASSERT(!finding.remedy.empty());
    }
}

} // namespace

TEST_CASE("Damaged rules are either rules or findings", "[config]")
{
    const std::string example = readWholeFile("examples/rules.toml");
    REQUIRE_FALSE(example.empty());
    CHECK(rc::check("rules", [&] {
        const auto loaded = parseRules(mutated(example));
        RC_CLASSIFY(loaded.value.has_value(), "accepted");
        if (loaded.value)
            RC_ASSERT(!loaded.value->rules()->branches.empty());
        else
            checkReport(loaded.findings);
    }));
}

TEST_CASE("Damaged settings are either settings or findings", "[config]")
{
    const TemporaryFolder folder;
    const std::string secret = "correct-horse-battery-staple";
    const std::string example =
        replaced(readWholeFile("examples/agent.toml"), "/run/secrets/bluebellquay-peer",
                 folder.write("peer", secret));
    CHECK(rc::check("settings", [&] {
        const std::string path = folder.write("agent.toml", mutated(example));
        const auto loaded = loadAll([&] { return AgentSettings::load(path); });
        RC_CLASSIFY(loaded.value.has_value(), "accepted");
        if (loaded.value)
            return;
        checkReport(loaded.findings);
        RC_ASSERT(toString(loaded.findings).find(secret) == std::string::npos);
    }));
}
