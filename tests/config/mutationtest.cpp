// Guards against crashes on damaged files: whatever the text, the result is either rules or at
// least one finding. RC_PARAMS="seed=..." repeats a run; RapidCheck prints its seed on failure.
#include "config/daemonsettings.h"
#include "config/loading.h"
#include "config/temporaryfile.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Bluebellquay;

namespace {

struct Mutation
{
    enum class Kind { Replace, Insert, Erase, Duplicate };
    Kind kind;
    std::size_t position;
    std::size_t length;
    std::string bytes;
};

// Fragments that reach deeper than random bytes would.
const std::vector<std::string> Fragments = {"[[",
                                            "]",
                                            "\"",
                                            "'''",
                                            "\"\"\"",
                                            "=",
                                            "#",
                                            "\n",
                                            ".",
                                            "{",
                                            "nan",
                                            "inf",
                                            "-1",
                                            "1e999",
                                            "0x",
                                            "\\u",
                                            "\xff",
                                            "\r",
                                            "true",
                                            "[branch]",
                                            "99999999999999999999",
                                            "1979-05-27T07:32:00Z",
                                            "kind",
                                            "[branch.maras.kind.close_pan]"};

rc::Gen<Mutation> mutationOf(std::size_t size)
{
    using Kind = Mutation::Kind;
    return rc::gen::construct<Mutation>(
        rc::gen::element(Kind::Replace, Kind::Insert, Kind::Erase, Kind::Duplicate),
        rc::gen::inRange<std::size_t>(0, size), rc::gen::inRange<std::size_t>(1, 200),
        rc::gen::oneOf(rc::gen::elementOf(Fragments), rc::gen::string<std::string>()));
}

void apply(const Mutation &mutation, std::string &text)
{
    const std::size_t position = std::min(mutation.position, text.size());
    switch (mutation.kind) {
    case Mutation::Kind::Replace:
        text.replace(position, mutation.bytes.size(), mutation.bytes);
        break;
    case Mutation::Kind::Insert:
        text.insert(position, mutation.bytes);
        break;
    case Mutation::Kind::Erase:
        text.erase(position, mutation.length);
        break;
    case Mutation::Kind::Duplicate:
        text.insert(position, text.substr(position, mutation.length));
        break;
    }
}

std::string mutated(std::string text)
{
    const auto mutations =
        *rc::gen::resize(6, rc::gen::container<std::vector<Mutation>>(mutationOf(text.size())));
    for (const Mutation &mutation : mutations)
        apply(mutation, text);
    return text;
}

// What every report must hold.
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
        if (loaded.value)
            return;
        checkReport(loaded.findings);
        RC_ASSERT(toString(loaded.findings).find(secret) == std::string::npos);
    }));
}
