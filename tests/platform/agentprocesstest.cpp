// Runs the agent process beside a worker, with a home that orders one task, and checks what the
// home is told when somebody else says that the worker is gone.
#include "platform/agentprocess.h"
#include "net/peernode.h"
#include "net/testloop.h"
#include "platform/processsetup.h"
#include "process/portpool.h"
#include "standins/platformstore.h"
#include "standins/platformworker.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr const char *WorkerName = "i-1";

Tcp::endpoint loopback(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

class AgentFixture
{
public:
    AgentFixture()
        : announcePort(ports.next())
        , homePort(ports.next())
        , writer(context, timers, loopback(announcePort))
    {
        initializeLog("test", LogLevel::Error);
        PlatformAgentSettings settings;
        settings.process.name = "side-1";
        settings.process.peerListen = loopback(0);
        settings.process.metricsListen = loopback(0);
        settings.process.storeAddress = "127.0.0.1:" + std::to_string(store.port());
        settings.announceListen = loopback(announcePort);
        startHome();
        agent = AgentProcess::create(context, settings).value();
        worker = std::make_unique<PlatformWorker>(context, timers, judge, WorkerName,
                                                  loopback(announcePort), 1);
        REQUIRE(until([this] { return room.accepting; }));
    }

    // Listens at the same port each time, with the same incarnation.
    void startHome()
    {
        home.reset();
        ProcessInfo self;
        self.incarnation = Incarnation(7);
        self.role = ProcessRole::Entry;
        self.name = "edge-1";
        CommonSettings common;
        common.peerListen = loopback(homePort);
        const PeerNodeSettings settings = peerSettings(common);
        PeerHandlers handlers;
        handlers.up = [this](const ProcessInfo &peer) {
            home->send(peer.incarnation, EvacuationNotice{EvacuationVersion(1), {}});
            agentIncarnation = peer.incarnation;
        };
        handlers.down = [](Incarnation) {};
        handlers.received = [this](Incarnation, const Message &message) {
            if (const auto *report = std::get_if<WorkerRoom>(&message))
                room = *report;
            if (const auto *ended = std::get_if<RunsEnded>(&message))
                ends.insert(ends.end(), ended->runs.begin(), ended->runs.end());
        };
        handlers.heartbeat = [] { return Heartbeat(); };
        home = PeerNode::create(context, timers, metrics, settings, self, handlers).value();
        store.put("entries", self.name,
                  R"({"peer_address":"127.0.0.1:)" + std::to_string(home->port()) + "\"}");
    }

    bool until(const std::function<bool()> &condition) { return runUntil(context, condition); }

    // Orders a task and waits until the worker runs it.
    void startTask(std::chrono::milliseconds runTime)
    {
        StartRuns message;
        message.job = JobKey(0xabc);
        message.need.milliProcessors = 1'000;
        message.payload = "1000 " + std::to_string(runTime.count()) + " ok";
        message.timeLeft = 1s;
        message.orders.push_back(
            {0, RunNumber(lastOrder + 1), OrderNumber(lastOrder + 1), runTime, 0, false});
        ++lastOrder;
        const std::size_t before = judge.starts();
        home->send(agentIncarnation, message);
        REQUIRE(until([&] { return judge.starts() > before; }));
    }

    // Sends an announcement that is not the worker's, and waits for its answer.
    void announce(const std::string &name, const std::string &address, std::uint64_t bornMs)
    {
        const nlohmann::json body{{"service", "another"},  {"address", address},
                                  {"state", "ready"},      {"born", bornMs},
                                  {"sequence", 1'000'000}, {"freeCapacity", {{"cpu", 1}}}};
        call("PUT", name, body.dump());
    }

    void call(const std::string &method, const std::string &name, std::string body = {})
    {
        bool answered = false;
        writer.call({method, "/v1/instances/" + name, std::move(body), {}, 1s},
                    [&](const HttpReply &reply) { answered = reply.answered(200); });
        REQUIRE(until([&] { return answered; }));
    }

    // The only end that the home is told of.
    RunResult onlyEnd()
    {
        REQUIRE(until([this] { return !ends.empty(); }));
        REQUIRE(ends.size() == 1);
        return ends.front().end;
    }

    boost::asio::io_context context;
    TimerService timers{context};
    PortPool ports;
    unsigned short announcePort;
    unsigned short homePort;
    PlatformStore store{context, timers, 1};
    PlatformJudge judge;
    Metrics metrics;
    std::unique_ptr<PeerNode> home;
    std::unique_ptr<AgentProcess> agent;
    std::unique_ptr<PlatformWorker> worker;
    HttpClient writer;
    Incarnation agentIncarnation;
    WorkerRoom room;
    std::vector<EndedRun> ends;
    std::uint64_t lastOrder = 0;
};

constexpr std::uint64_t Later = 1'900'000'000'000;
constexpr const char *DeadAddress = "127.0.0.1:9";

} // namespace

TEST_CASE_METHOD(AgentFixture, "an announcement of a life that does not answer ends no run")
{
    startTask(300ms);
    SECTION("another worker at an address where nothing listens")
    {
        announce("i-other", DeadAddress, Later);
    }
    SECTION("another start of this worker")
    {
        announce(WorkerName, DeadAddress, Later);
    }
    SECTION("another start of this worker at its own address")
    {
        announce(WorkerName, worker->address(), Later);
    }
    SECTION("another worker at this worker's address")
    {
        announce("i-other", worker->address(), Later);
    }
    SECTION("this life with another service and address")
    {
        announce(WorkerName, DeadAddress, worker->bornMs());
    }
    CHECK(onlyEnd() == RunResult::Done);
    CHECK(room.service == "archive");
    CHECK(room.accepting);
}

TEST_CASE_METHOD(AgentFixture, "a worker that is said to leave and answers keeps its runs")
{
    startTask(300ms);
    call("DELETE", WorkerName);
    CHECK(onlyEnd() == RunResult::Done);
    CHECK(until([this] { return room.accepting; }));
}

TEST_CASE_METHOD(AgentFixture, "the runs of a worker that has left end when its lease is over")
{
    startTask(60s);
    worker->leave();
    CHECK(onlyEnd() == RunResult::Lost);
    CHECK_FALSE(room.accepting);
    worker =
        std::make_unique<PlatformWorker>(context, timers, judge, "i-2", loopback(announcePort), 2);
    CHECK(until([this] { return room.accepting; }));
}

TEST_CASE_METHOD(AgentFixture, "the next life of a worker takes its place when it answers")
{
    startTask(60s);
    worker->crash();
    CHECK(onlyEnd() == RunResult::Lost);
    CHECK(until([this] { return room.accepting; }));
    ends.clear();
    startTask(10ms);
    CHECK(onlyEnd() == RunResult::Done);
}

// Guards against two overlapping runs of a task: a link that comes up on this side only would keep
// the runs of a home that counts them as over.
TEST_CASE_METHOD(AgentFixture, "a home whose new link brings no question has its runs stopped")
{
    startTask(60s);
    startHome();
    CHECK(onlyEnd() == RunResult::Stopped);
}

TEST_CASE_METHOD(AgentFixture,
                 "another worker takes the place of one that answers nothing any more")
{
    startTask(60s);
    worker->setLostAnswers(1);
    PlatformWorker next(context, timers, judge, "i-2", loopback(announcePort), 2);
    CHECK(onlyEnd() == RunResult::Lost);
    CHECK(until([this] { return room.accepting; }));
}
