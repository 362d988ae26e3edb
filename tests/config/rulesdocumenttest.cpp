// Guards against a wrong rule coming into force, and against findings that hide others or give the
// wrong place.
#include "config/loading.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;

TEST_CASE("A document gives the values it holds and the defaults of the rest", "[config]")
{
    const auto loaded = parseRules(R"(
[branch.maras]
queue_limit_background = 7
team_quota = { shed = 0.5, office = 1 }
[branch.maras.kind.close_pan]
urgency = "urgent"
idempotent = false
deadline_ms = 1500
)");
    INFO(toString(loaded.findings));
    REQUIRE(loaded.value);
    const RuleSet &rules = *loaded.value->rules();
    const BranchRule *branch = rules.findBranch("maras");
    REQUIRE(branch != nullptr);
    CHECK(branch->queueLimits == std::array<std::uint32_t, 3>{2'000, 2'000, 7});
    CHECK(branch->teamQuotas.at("shed") == 0.5);
    CHECK(branch->teamQuotas.at("office") == 1.0);
    const KindRule *kind = rules.findKind("maras", "close_pan");
    REQUIRE(kind != nullptr);
    CHECK(kind->urgency == Urgency::Urgent);
    CHECK_FALSE(kind->idempotent);
    CHECK(kind->deadline == std::chrono::milliseconds(1500));
    CHECK(kind->maxAttempts == KindRule().maxAttempts);
    CHECK(rules.findKind("maras", "checkout") == nullptr);
}

TEST_CASE("A syntax error is one finding with its line", "[config]")
{
    const auto loaded =
        parseRules("[branch.maras]\nretry_budget = 0.1\nqueue_limit_normal = = 3\n");
    CHECK_FALSE(loaded.value);
    REQUIRE(loaded.findings.size() == 1);
    CHECK(loaded.findings[0].file == "rules.toml");
    CHECK(loaded.findings[0].line == 3);
    CHECK_FALSE(loaded.findings[0].remedy.empty());
}

TEST_CASE("A key given twice is a finding at its second place", "[config]")
{
    const auto loaded = parseRules("[branch.maras]\nretry_budget = 0.1\nretry_budget = 0.2\n");
    REQUIRE(loaded.findings.size() == 1);
    CHECK(loaded.findings[0].line == 3);
}

TEST_CASE("All findings of a document are reported together", "[config]")
{
    const auto loaded = parseRules(R"([branch.hinokuni]
retry_budget = 1.5
queue_limit_normal = "many"
[branch.hinokuni.team_quota]
night = 0
[branch.hinokuni.kind.search]
urgency = "normall"
idempotent = 1
dedline_ms = 100
[branch.hinokuni.kind.checkout]
urgency = "normal"
deadline_ms = 0
[branch.maras.kind."close pan"]
urgency = "urgent"
idempotent = false
)");
    INFO(toString(loaded.findings));
    CHECK_FALSE(loaded.value);
    const std::vector<std::pair<std::string, std::uint32_t>> expected = {
        {"branch.hinokuni.retry_budget", 2},
        {"branch.hinokuni.queue_limit_normal", 3},
        {"branch.hinokuni.team_quota.night", 5},
        {"branch.hinokuni.kind.search.urgency", 7},
        {"branch.hinokuni.kind.search.idempotent", 8},
        {"branch.hinokuni.kind.search.dedline_ms", 9},
        {"branch.hinokuni.kind.checkout.idempotent", 10},
        {"branch.hinokuni.kind.checkout.deadline_ms", 12},
        {"branch.maras.kind.close pan", 13},
    };
    CHECK(loaded.findings.size() == expected.size());
    for (const auto &[place, line] : expected) {
        INFO(place);
        const Finding *finding = loaded.findingAt(place);
        REQUIRE(finding != nullptr);
        CHECK(finding->line == line);
        CHECK_FALSE(finding->remedy.empty());
    }
    CHECK(loaded.findingAt("branch.hinokuni.kind.search.dedline_ms")->remedy.find("deadline_ms")
          != std::string::npos);
    CHECK(loaded.findingAt("branch.hinokuni.kind.search.urgency")->remedy.find("mean normal")
          != std::string::npos);
}

TEST_CASE("A document without a branch or a branch without a kind is rejected", "[config]")
{
    CHECK(parseRules("").findingAt("branch") != nullptr);
    CHECK(parseRules("[branch]\n").findingAt("branch") != nullptr);
    CHECK(parseRules("[branch.maras]\n").findingAt("branch.maras.kind") != nullptr);
    CHECK(parseRules("branch = 3\n").findingAt("branch") != nullptr);
    CHECK(parseRules("[branch]\nmaras = 3\n").findingAt("branch.maras") != nullptr);
}

TEST_CASE("Numbers at the edges of their range are told apart", "[config]")
{
    const auto accepted = [](const std::string &line) {
        return parseRules("[branch.b.kind.k]\nurgency = \"normal\"\nidempotent = true\n" + line)
            .value.has_value();
    };
    CHECK(accepted("max_attempts = 1"));
    CHECK(accepted("max_attempts = 5"));
    CHECK_FALSE(accepted("max_attempts = 0"));
    CHECK_FALSE(accepted("max_attempts = 6"));
    CHECK_FALSE(accepted("max_attempts = 4294967297"));
    CHECK_FALSE(accepted("expected_run_ms = -1"));
    CHECK_FALSE(accepted("expected_run_ms = 1.5"));
    CHECK(accepted("[branch.b]\nretry_budget = 0"));
    CHECK(accepted("[branch.b]\nretry_budget = 1.0"));
    CHECK_FALSE(accepted("[branch.b]\nretry_budget = nan"));
    CHECK_FALSE(accepted("[branch.b]\nretry_budget = true"));
}

TEST_CASE("A document too long to travel in one message is rejected", "[config]")
{
    const auto loaded = parseRules("#" + std::string(1UL << 20, 'x'));
    REQUIRE(loaded.findings.size() == 1);
    CHECK(loaded.findings[0].message.find("longer") != std::string::npos);
}
