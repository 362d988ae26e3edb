// Guards the templates in deploy/: filled in as the platform does, they are settings without
// findings, and bounds that leave no room for the times of the links are refused.
#include "platform/platformsettings.h"
#include "config/finding.h"
#include "config/temporaryfile.h"
#include "platform/processsetup.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;
using namespace std::chrono_literals;

namespace {

std::string filledTemplate(const std::string &path)
{
    std::string text = readWholeFile(path);
    const std::map<std::string, std::string> values = {{"node", "edge-fukuoka-1"},
                                                       {"zone", "fukuoka"},
                                                       {"region", "kyushu"},
                                                       {"ip", "10.1.0.13"},
                                                       {"portRange.0", "7720"},
                                                       {"portRange.1", "7721"},
                                                       {"platform.address", "10.200.1.7:8169"},
                                                       {"zones|json", R"({"fukuoka": "kyushu"})"},
                                                       {"bounds.holdMaxMs", "1000"},
                                                       {"bounds.stopMs", "50"},
                                                       {"bounds.retransmitMs", "1300"},
                                                       {"bounds.graceS", "6.5"},
                                                       {"#bounds.farX", ""},
                                                       {"bounds.farX", "1.5"},
                                                       {"/bounds.farX", ""},
                                                       {"orders", "invocation"},
                                                       {"#limits.memoryMb", ""},
                                                       {"limits.memoryMb", "260"},
                                                       {"/limits.memoryMb", ""},
                                                       {"#limits.maxFds", ""},
                                                       {"limits.maxFds", "4100"},
                                                       {"/limits.maxFds", ""},
                                                       {"listenAddrs.front", "10.1.0.13:8161"},
                                                       {"listenAddrs.ready", "10.1.0.13:8167"},
                                                       {"listenAddrs.control", "10.1.0.13:8166"}};
    for (const auto &[name, value] : values) {
        std::string placeholder = "{{";
        placeholder += name;
        placeholder += "}}";
        text = replaced(text, placeholder, value);
    }
    return text;
}

template <typename Settings>
std::optional<Settings> load(const std::string &text, std::string &findings)
{
    const TemporaryFolder folder;
    const std::string path = folder.write("settings.toml", text);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(settings, Settings::load(path));
            return std::optional(settings);
        },
        [&](const Findings &found) {
            findings = toString(found);
            return std::optional<Settings>();
        },
        [] { return std::optional<Settings>(); });
}

} // namespace

TEST_CASE("the template of an entry has no findings")
{
    std::string findings;
    const auto settings =
        load<PlatformEntrySettings>(filledTemplate("deploy/entry.toml"), findings);
    INFO(findings);
    REQUIRE(settings);
    CHECK(settings->process.bounds.stopGrace == 6500ms);
    CHECK(settings->remoteDataFactor == 1.5);
    CHECK(settings->process.bounds.resubmission == 1300ms);
    CHECK(settings->frontListen.port() == 8161);
    CHECK_FALSE(settings->process.peerSecret().empty());
}

TEST_CASE("the template of an agent has no findings")
{
    std::string findings;
    const auto settings =
        load<PlatformAgentSettings>(filledTemplate("deploy/agent.toml"), findings);
    INFO(findings);
    REQUIRE(settings);
    CHECK(settings->announceListen.port() == 8166);
}

TEST_CASE("all findings of wrong settings are told at once")
{
    std::string findings;
    CHECK_FALSE(load<PlatformAgentSettings>("name = \"x\"\nlongest_lease_ms = 1\n", findings));
    CHECK(findings.find("longest_lease_ms") != std::string::npos);
    CHECK(findings.find("announce_listen") != std::string::npos);
    CHECK(findings.find("store_address") != std::string::npos);
}

TEST_CASE("a way of giving orders that is not served is refused with a reason")
{
    std::string text = filledTemplate("deploy/agent.toml");
    text = replaced(text, "\"invocation\"", "\"heartbeat\"");
    std::string findings;
    CHECK_FALSE(load<PlatformAgentSettings>(text, findings));
    CHECK(findings.find("orders") != std::string::npos);
    CHECK(findings.find("invocation") != std::string::npos);
}

// Another deployment may have longer leases; a home must wait for them all the same.
TEST_CASE("an agent is given up only when its longest lease has run out")
{
    PlatformBounds bounds;
    for (const Duration lease : {Duration(500ms), Duration(1s), Duration(4s)}) {
        bounds.longestLease = lease;
        bounds.resubmission = lease + 1s;
        CHECK(agentGoneAfter(bounds) > SilenceTimeout + AbsenceGrace + lease * 102 / 100);
        CHECK(boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(checkTimes(bounds));
                return true;
            },
            [] { return false; }));
    }
}

TEST_CASE("deployments have different secrets")
{
    CommonSettings one;
    one.peerRealm = "a";
    CommonSettings other;
    other.peerRealm = "b";
    CHECK(one.peerSecret() != other.peerSecret());
    CHECK(one.peerSecret().size() > 20);
}

TEST_CASE("bounds in which two runs of a task might overlap are refused")
{
    const auto accepted = [](const PlatformBounds &bounds) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(checkTimes(bounds));
                return true;
            },
            [] { return false; });
    };
    CHECK(accepted(PlatformBounds()));
    PlatformBounds shortResubmission;
    shortResubmission.resubmission = 800ms;
    CHECK_FALSE(accepted(shortResubmission));
    PlatformBounds longLease;
    longLease.longestLease = 1500ms;
    CHECK_FALSE(accepted(longLease));
}

TEST_CASE("the runs of a home that is gone end before a resubmission, despite a short suspension")
{
    PlatformBounds bounds;
    for (const Duration resubmission : {Duration(1100ms), Duration(1300ms), Duration(4s)}) {
        bounds.resubmission = resubmission;
        const Duration limit = suspensionLimit(bounds);
        CHECK(limit > Duration(0));
        CHECK(SilenceTimeout + AbsenceGrace + bounds.stopDuration + limit <= resubmission);
    }
}
