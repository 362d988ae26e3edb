// Plays scripted disturbances on the platform's programs as separate processes, and checks that no
// task runs twice at a time. The first three are review/1, review/7 and review/3.
#include "config/temporaryfile.h"
#include "net/testloop.h"
#include "soak/soakcallers.h"
#include "soak/soaksite.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <functional>
#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 7;
constexpr std::size_t Entries = 3;
constexpr std::size_t Agents = 4;
constexpr Duration CallerWait{1'500'000};

class ScriptedSite
{
public:
    ScriptedSite()
        : site(folder.path(), Seed, Entries, Agents)
        , callers(site, Seed)
        , key(callers.newKey())
    {
        REQUIRE(callers.waitUntilServing().empty());
    }

    // Submits the job of one task to the entry, and again elsewhere while the outcome is unknown.
    void submit(std::size_t entry, std::chrono::milliseconds runTime, Duration wait)
    {
        const nlohmann::json job{
            {"bestEffort", true},
            {"spec", "6000 " + std::to_string(runTime.count()) + " ok"},
            {"steps", {{{"count", 1}, {"cpu", 6'000}, {"estimateMs", runTime.count()}}}}};
        callers.submit(entry, "/x/" + key, job.dump(), wait,
                       [this, entry, runTime, wait](const HttpReply &reply) {
                           status = reply.end == HttpCallEnd::Answered ? reply.status : 0;
                           if (status != 0 && status != 502 && status != 504)
                               return;
                           resubmission = site.timers().at(
                               site.timers().now() + Resubmission, [=, this](TimePoint) {
                                   submit((entry + 1) % Entries, runTime, wait);
                               });
                       });
    }

    // The limit is only there to end a test that fails.
    bool until(const std::function<bool()> &condition)
    {
        return runUntil(site.context(), condition);
    }

    // The agent beside the worker that runs the task, once it does.
    std::size_t runningAgent()
    {
        std::size_t agent = 0;
        REQUIRE(until([&] {
            agent = 0;
            while (agent < Agents
                   && !site.judge().isRunningOn(taskName(), site.worker(agent).name()))
                ++agent;
            return agent < Agents;
        }));
        return agent;
    }
    std::string taskName() const { return key + ".0.0.0"; }

    void freeze(SoakProcess &process, Duration span)
    {
        process.child->signal(SIGSTOP);
        site.pass(span);
        process.child->signal(SIGCONT);
    }

    // A heartbeat, whole in its form, of a service that no configuration names.
    void announceForeign(std::size_t agent, const std::string &address)
    {
        HttpClient writer(site.context(), site.timers(),
                          SoakSite::loopback(site.agents()[agent]->otherPort));
        const nlohmann::json body{{"service", "another"},
                                  {"address", address},
                                  {"state", "ready"},
                                  {"labels", {"a", "r1-9"}},
                                  {"freeCapacity", {{"cpu", 16'000}, {"memMb", 32'768}}},
                                  {"clockMs", 482'113},
                                  {"born", 1'900'000'000'000},
                                  {"sequence", 4}};
        unsigned answer = 0;
        writer.call({"PUT", "/v1/instances/i-7f3a91c2", body.dump(), {}, 1s},
                    [&](const HttpReply &reply) { answer = reply.status; });
        CHECK(until([&] { return answer != 0; }));
        CHECK(answer == 200);
    }

    void checkNoViolation()
    {
        for (const std::string &violation : site.judge().violations())
            FAIL_CHECK(violation);
    }

    TemporaryFolder folder;
    SoakSite site;
    SoakCallers callers;
    const std::string key;
    // Of the latest answer; zero if there was none.
    unsigned status = 0;
    TimerSubscription resubmission;
};

} // namespace

// Guards against two overlapping runs of a task: a home sends a stop while the agent is frozen, and
// the stop is lost with the link.
TEST_CASE_METHOD(ScriptedSite, "a stop that is lost with a link ends the run before a resubmission")
{
    submit(0, 5s, CallerWait);
    SoakProcess &agent = *site.agents()[runningAgent()];
    site.pass(1'200ms);
    SECTION("the agent is frozen once")
    {
        freeze(agent, 800ms);
    }
    // It renews the lease each time that it wakes, before it has its links back.
    SECTION("the agent is frozen twice")
    {
        freeze(agent, 850ms);
        site.pass(15ms);
        freeze(agent, 1s);
    }
    SECTION("the home is frozen, and the agent just before it gives the home up")
    {
        SoakProcess &home = *site.entries().front();
        site.pass(250ms);
        home.child->signal(SIGSTOP);
        site.pass(820ms);
        freeze(agent, 1'200ms);
        home.child->signal(SIGCONT);
    }
    CHECK(until([this] { return site.judge().startsOf(taskName()) == 2; }));
    // Longer than a lease: a first run that goes on, or that was renewed, is still there.
    site.pass(1'200ms);
    checkNoViolation();
}

// Guards against two overlapping runs of a task: an agent took the last messages of a dead home for
// signs of life when it read them, and renewed its lease before it stood still again.
TEST_CASE_METHOD(ScriptedSite, "messages that are read late do not keep the run of a killed home")
{
    submit(0, 5s, 10s);
    SoakProcess &home = *site.entries().front();
    SoakProcess &agent = *site.agents()[runningAgent()];
    site.pass(500ms);
    SECTION("they wait for the agent, which stands still")
    {
        agent.child->signal(SIGSTOP);
        site.pass(170ms);
        home.child->kill();
        site.pass(280ms);
        agent.child->signal(SIGCONT);
    }
    SECTION("the network holds them back")
    {
        home.relay->stall();
        site.pass(170ms);
        home.child->kill();
        site.pass(280ms);
        home.relay->pass();
    }
    // Less than it waits for a home to come back.
    site.pass(180ms);
    freeze(agent, 2'500ms);
    CHECK(until([this] { return site.judge().startsOf(taskName()) == 2; }));
    checkNoViolation();
}

// Guards against two overlapping runs of a task: an agent took a heartbeat of another writer for
// the next life of its worker, and ended the runs of the worker that was up.
TEST_CASE_METHOD(ScriptedSite, "a heartbeat of another writer ends no run")
{
    submit(0, 3s, 9s);
    const std::size_t agent = runningAgent();
    site.pass(1s);
    SECTION("nothing listens at its address")
    {
        announceForeign(agent, "127.0.0.1:9");
    }
    SECTION("what listens at its address says nothing")
    {
        boost::asio::ip::tcp::acceptor silent(site.context(), SoakSite::loopback(0));
        announceForeign(agent, "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
        site.pass(2s);
    }
    SECTION("its address is that of a worker beside another agent")
    {
        announceForeign(agent, site.worker((agent + 1) % Agents).address());
    }
    CHECK(until([this] { return status != 0; }));
    CHECK(status == 200);
    checkNoViolation();
    CHECK(site.judge().startsOf(taskName()) == 1);
}
