// Cost of one single request in an entry: processor time of the thread of an EntryDaemon over
// loopback, with homes that answer at once and ids reserved in batches.
//
// Usage: bench_entry [seconds] [connections]
#include "bluebellquay/v1/dispatcher.pb.h"
#include "daemons/entry/entrydaemon.h"
#include "net/connectclient.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

using namespace Bluebellquay;
using bluebellquay::v1::ReserveIdsRequest;
using bluebellquay::v1::ReserveIdsResponse;
using bluebellquay::v1::SubmissionResponse;
using bluebellquay::v1::SubmitRequest;

namespace {

constexpr std::size_t PayloadBytes = 200;
constexpr std::uint32_t IdsPerCall = 100;
constexpr std::size_t LoadThreads = 2;
constexpr std::size_t Homes = 3;
const std::string Secret = "peer-secret-of-the-benchmark";
const std::string Rules =
    "[branch.hinokuni.kind.search]\nurgency = \"normal\"\nidempotent = true\n";

boost::asio::ip::tcp::endpoint anyPort()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

double threadSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Homes that answer each submission at once with its payload.
class HomesThread
{
public:
    explicit HomesThread(unsigned short entryPort)
    {
        for (std::size_t i = 0; i < Homes; ++i) {
            ProcessInfo self;
            self.incarnation = Incarnation(100 + i);
            self.name = "home-" + std::to_string(i);
            PeerNodeSettings settings;
            settings.endpoint = anyPort();
            settings.secret = Secret;
            PeerHandlers handlers;
            handlers.heartbeat = [] { return heartbeat(); };
            handlers.received = [this, i](Incarnation from, const Message &message) {
                received(*m_nodes[i], from, message);
            };
            m_nodes.push_back(
                PeerNode::create(m_context, m_timers, m_metrics, settings, self, handlers).value());
            m_nodes.back()->dial("127.0.0.1:" + std::to_string(entryPort));
        }
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~HomesThread()
    {
        m_context.stop();
        m_thread.join();
    }

private:
    static Heartbeat heartbeat()
    {
        Heartbeat heartbeat;
        heartbeat.configVersion = ConfigVersion(1);
        heartbeat.state = AgentState::Serving;
        heartbeat.load.slots = 8;
        heartbeat.load.freeSlots = 8;
        return heartbeat;
    }
    static void received(PeerNode &node, Incarnation from, const Message &message)
    {
        if (const auto *submit = std::get_if<Submit>(&message)) {
            Reply reply;
            reply.correlation = submit->correlation;
            reply.id = submit->id;
            reply.kind = ReplyKind::Final;
            reply.answer = Answer{Outcome::Completed, Reason::None, {}, std::nullopt, {}};
            reply.answer->outputs.push_back(submit->job.tasks[0].payload);
            node.send(from, reply);
        } else if (std::holds_alternative<ConfigRequest>(message)) {
            node.send(from, ConfigDocument{ConfigVersion(1), "bench", Rules});
        }
    }

    boost::asio::io_context m_context{1};
    TimerService m_timers{m_context};
    Metrics m_metrics;
    std::vector<std::unique_ptr<PeerNode>> m_nodes;
    std::thread m_thread;
};

class EntryThread
{
public:
    EntryThread()
    {
        EntrySettings settings;
        settings.process.name = "entry";
        settings.process.peerSecret = Secret;
        settings.process.peerListen = anyPort();
        settings.process.adminListen = anyPort();
        settings.callerListen = anyPort();
        settings.operatorListen = anyPort();
        settings.operatorSecret = "operator-secret";
        settings.tableAddress = "127.0.0.1:1"; // The rules come from the homes.
        m_daemon = EntryDaemon::create(m_context, settings).value();
        m_thread = std::thread([this] {
            m_context.run();
            m_seconds = threadSeconds();
        });
    }
    EntryPorts ports() const { return m_daemon->ports(); }
    double processorSeconds()
    {
        m_context.stop();
        m_thread.join();
        return m_seconds;
    }

private:
    boost::asio::io_context m_context{1};
    std::unique_ptr<EntryDaemon> m_daemon;
    std::thread m_thread;
    double m_seconds = 0;
};

// Callers that each send the next request after the previous answer, all on a separate thread.
class Load
{
public:
    Load(unsigned short port, std::size_t connections)
    {
        ConnectClientSettings settings;
        settings.address = "127.0.0.1:" + std::to_string(port);
        settings.maxConnections = connections;
        m_client = ConnectClient::create(m_context, settings).value();
        m_request.mutable_job()->set_branch("hinokuni");
        m_request.mutable_job()->set_kind("search");
        m_request.mutable_job()->add_tasks()->set_payload(std::string(PayloadBytes, 'x'));
        for (std::size_t i = 0; i < connections; ++i)
            next();
    }
    void run(std::chrono::seconds time) { m_context.run_for(time); }
    std::uint64_t calls() const { return m_calls; }

private:
    void next()
    {
        if (m_ids.empty())
            return reserve();
        m_request.set_id(m_ids.back());
        m_ids.pop_back();
        m_client->call<SubmissionResponse>(
            "bluebellquay.v1.Dispatcher/Submit", m_request, std::chrono::seconds(5),
            [this](const ConnectResult<SubmissionResponse> &result) {
                const auto *response = std::get_if<SubmissionResponse>(&result);
                if (response == nullptr
                    || response->outcome() != bluebellquay::v1::OUTCOME_COMPLETED) {
                    std::fprintf(stderr, "a submission failed\n");
                    std::exit(1);
                }
                ++m_calls;
                next();
            });
    }
    void reserve()
    {
        ReserveIdsRequest request;
        request.set_count(IdsPerCall);
        m_client->call<ReserveIdsResponse>(
            "bluebellquay.v1.Dispatcher/ReserveIds", request, std::chrono::seconds(5),
            [this](const ConnectResult<ReserveIdsResponse> &result) {
                if (const auto *response = std::get_if<ReserveIdsResponse>(&result))
                    m_ids.insert(m_ids.end(), response->ids().begin(), response->ids().end());
                next();
            });
    }

    boost::asio::io_context m_context{1};
    std::unique_ptr<ConnectClient> m_client;
    SubmitRequest m_request;
    std::vector<std::string> m_ids;
    std::uint64_t m_calls = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::chrono::seconds time(argc > 1 ? std::atoi(argv[1]) : 3);
    const std::size_t connections = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 64;
    initializeLog("bench_entry", LogLevel::Error);
    EntryThread entry;
    const HomesThread homes(entry.ports().peer);
    // The entry accepts requests only after it has received messages from its peers.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::vector<std::unique_ptr<Load>> loads;
    for (std::size_t i = 0; i < LoadThreads; ++i)
        loads.push_back(std::make_unique<Load>(entry.ports().caller, connections / LoadThreads));
    std::vector<std::thread> threads;
    threads.reserve(LoadThreads);
    for (const auto &load : loads)
        threads.emplace_back([&] { load->run(time); });
    for (std::thread &thread : threads)
        thread.join();
    const double processor = entry.processorSeconds();
    std::uint64_t calls = 0;
    for (const auto &load : loads)
        calls += load->calls();
    const auto number = static_cast<double>(calls);
    std::printf("%.0f requests/s, %.2f us of processor per request, "
                "entry_requests_per_core_s=%.0f\n",
                number / static_cast<double>(time.count()), processor / number * 1e6,
                number / processor);
    return 0;
}
