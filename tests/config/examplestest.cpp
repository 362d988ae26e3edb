// Guards against examples that don't load and against a reference page that differs from the keys.
#include "bluebellquay/v1/dispatcher.pb.h"
#include "bluebellquay/v1/maras.pb.h"
#include "config/configreference.h"
#include "config/daemonsettings.h"
#include "config/loading.h"
#include "config/temporaryfile.h"

#include <catch2/catch.hpp>
#include <google/protobuf/util/json_util.h>

using namespace Bluebellquay;

namespace {

// Writes the example with secret files that exist on this machine.
std::string writeExample(const TemporaryFolder &folder, const std::string &name)
{
    std::string text = readWholeFile("examples/" + name);
    text = replaced(text, "/run/secrets/bluebellquay-peer", folder.write("peer", "example"));
    text =
        replaced(text, "/run/secrets/bluebellquay-operator", folder.write("operator", "example"));
    return folder.write(name, text);
}

} // namespace

TEST_CASE("The example rules load", "[config]")
{
    const auto both = parseRules(readWholeFile("examples/rules.toml"));
    INFO(toString(both.findings));
    REQUIRE(both.value);
    CHECK(both.value->rules()->branches.size() == 2);
    for (const std::string branch : {"hinokuni", "maras"}) {
        const auto one = parseRules(readWholeFile("examples/" + branch + "-rules.toml"));
        INFO(toString(one.findings));
        REQUIRE(one.value);
        const BranchRule *separate = one.value->rules()->findBranch(branch);
        const BranchRule *combined = both.value->rules()->findBranch(branch);
        REQUIRE(separate != nullptr);
        REQUIRE(combined != nullptr);
        CHECK(separate->kinds.size() == combined->kinds.size());
        CHECK(separate->teamQuotas == combined->teamQuotas);
        CHECK(separate->queueLimits == combined->queueLimits);
    }
}

TEST_CASE("The example rules protect what must run at most once", "[config]")
{
    const auto loaded = parseRules(readWholeFile("examples/rules.toml"));
    REQUIRE(loaded.value);
    const RuleSet &rules = *loaded.value->rules();
    CHECK_FALSE(rules.findKind("hinokuni", "checkout")->idempotent);
    for (const char *kind : {"close_pan", "confirm_buyer"}) {
        CHECK_FALSE(rules.findKind("maras", kind)->idempotent);
        CHECK(rules.findKind("maras", kind)->urgency == Urgency::Urgent);
    }
}

TEST_CASE("The example settings load", "[config]")
{
    const TemporaryFolder folder;
    const std::string entryPath = writeExample(folder, "entry.toml");
    const auto entry = loadAll([&] { return EntrySettings::load(entryPath); });
    INFO(toString(entry.findings));
    CHECK(entry.value);
    const std::string agentPath = writeExample(folder, "agent.toml");
    const auto agent = loadAll([&] { return AgentSettings::load(agentPath); });
    INFO(toString(agent.findings));
    CHECK(agent.value);
}

TEST_CASE("The example job is one of the example rules", "[config]")
{
    bluebellquay::v1::Job job;
    const auto status =
        google::protobuf::util::JsonStringToMessage(readWholeFile("examples/job.json"), &job);
    INFO(status.ToString());
    REQUIRE(status.ok());
    CHECK(job.tasks_size() > 10);
    maras::v1::Exceptions exceptions;
    CHECK(job.exceptions().UnpackTo(&exceptions));
    const auto rules = parseRules(readWholeFile("examples/rules.toml"));
    REQUIRE(rules.value);
    CHECK(rules.value->rules()->findKind(job.branch(), job.kind()) != nullptr);
}

TEST_CASE("The reference page has the tables of all keys", "[config]")
{
    const std::string page = readWholeFile("docs/CONFIGURATION.md");
    for (const ConfigSection &section : configReference()) {
        const std::string expected = "## " + section.title + "\n";
        const std::size_t start = page.find(expected);
        INFO("docs/CONFIGURATION.md must have this section:\n" << expected << toMarkdown(section));
        REQUIRE(start != std::string::npos);
        const std::size_t end = page.find("\n## ", start);
        CHECK(page.substr(start, end - start).find("\n" + toMarkdown(section))
              != std::string::npos);
    }
}
