// Guards against parts of the entry that work alone but not together: whole calls over HTTP and
// links, readiness, and a planned stop that breaks calls in progress.
#include "daemons/entry/entrydaemon.h"
#include "standins/standinfixture.h"
#include "standins/tablestandin.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace Bluebellquay;
using bluebellquay::v1::ApplyConfigRequest;
using bluebellquay::v1::ApplyConfigResponse;
using bluebellquay::v1::DrainRequest;
using bluebellquay::v1::DrainResponse;
using bluebellquay::v1::ReserveIdsRequest;
using bluebellquay::v1::ReserveIdsResponse;
using bluebellquay::v1::SubmissionResponse;
using bluebellquay::v1::SubmitRequest;

namespace {

const std::string Rules =
    "[branch.hinokuni.kind.search]\nurgency = \"normal\"\nidempotent = true\n";

// An agent that records what it gets and answers on demand.
struct TestAgent
{
    TestAgent(boost::asio::io_context &context, TimerService &timers, std::uint64_t incarnation)
    {
        ProcessInfo self;
        self.incarnation = Incarnation(incarnation);
        self.name = "agent-" + std::to_string(incarnation);
        self.dataCentre = "fukuoka";
        PeerNodeSettings settings;
        settings.endpoint = *parseEndpoint("127.0.0.1:0");
        settings.secret = "peer-secret-of-the-tests";
        PeerHandlers handlers;
        handlers.heartbeat = [this] {
            Heartbeat heartbeat;
            heartbeat.issuePeriod = IssuePeriod(3);
            heartbeat.state = AgentState::Serving;
            heartbeat.load.slots = 8;
            heartbeat.load.freeSlots = 8;
            heartbeat.configVersion = version;
            return heartbeat;
        };
        handlers.received = [this](Incarnation from, Message message) {
            entry = from;
            if (const auto *beat = std::get_if<Heartbeat>(&message))
                entryVersion = beat->configVersion;
            else if (const auto *submit = std::get_if<Submit>(&message))
                submits.push_back(*submit);
            else if (std::holds_alternative<StopWaiting>(message))
                ++stopWaitings;
            else if (const auto *drain = std::get_if<Drain>(&message))
                node->send(from, DrainAck{drain->correlation, AgentState::Leaving});
            else if (const auto *document = std::get_if<ConfigDocument>(&message))
                documents.push_back(*document);
        };
        node = PeerNode::create(context, timers, metrics, settings, self, handlers).value();
    }

    void answer(const Submit &submit, const std::string &output)
    {
        Reply reply;
        reply.correlation = submit.correlation;
        reply.id = submit.id;
        reply.kind = ReplyKind::Final;
        reply.answer = Answer{Outcome::Completed, Reason::None, {}, std::nullopt, {output}};
        node->send(entry, reply);
    }

    Metrics metrics;
    Incarnation entry;
    ConfigVersion version;
    ConfigVersion entryVersion;
    std::vector<Submit> submits;
    int stopWaitings = 0;
    std::vector<ConfigDocument> documents;
    std::unique_ptr<PeerNode> node;
};

class EntryDaemonFixture : public StandinFixture
{
protected:
    EntryDaemonFixture()
    {
        EntrySettings settings;
        settings.process.name = "entry";
        settings.process.dataCentre = "fukuoka";
        settings.process.peerSecret = "peer-secret-of-the-tests";
        settings.process.stopTimeout = Duration(2'000'000);
        settings.drainGrace = Duration(100'000);
        settings.operatorSecret = "operator-secret";
        settings.tableAddress = address(m_table->port());
        for (auto *endpoint : {&settings.process.peerListen, &settings.process.adminListen,
                               &settings.callerListen, &settings.operatorListen})
            *endpoint = anyPort();
        m_daemon = EntryDaemon::create(m_entryContext, settings).value();
        m_ports = m_daemon->ports();
        ConnectClientSettings caller;
        caller.address = address(m_ports.caller);
        m_caller = ConnectClient::create(m_context, caller).value();
        ConnectClientSettings operators;
        operators.address = address(m_ports.operators);
        operators.bearerSecret = "operator-secret";
        m_operator = ConnectClient::create(m_context, operators).value();
        m_agent.node->dial(address(m_ports.peer));
    }

    // Runs the entry and everything else until the condition holds.
    bool runBoth(const std::function<bool()> &condition)
    {
        return runUntil([&] {
            if (!m_entryContext.stopped())
                m_entryContext.poll();
            return condition();
        });
    }

    template <typename Response, typename Request>
    std::shared_ptr<std::optional<ConnectResult<Response>>>
    start(ConnectClient &client, const std::string &method, const Request &request,
          Duration timeout = Duration(20'000'000))
    {
        auto result = std::make_shared<std::optional<ConnectResult<Response>>>();
        client.call<Response>(method, request, timeout,
                              [result](ConnectResult<Response> answer) { *result = answer; });
        return result;
    }
    template <typename Response, typename Request>
    Response finish(ConnectClient &client, const std::string &method, const Request &request)
    {
        const auto result = start<Response>(client, method, request);
        REQUIRE(runBoth([&] { return result->has_value(); }));
        REQUIRE(std::holds_alternative<Response>(**result));
        return std::get<Response>(**result);
    }

    // Status of a GET on the admin listener.
    unsigned statusOf(const std::string &path)
    {
        boost::asio::ip::tcp::socket socket(m_context);
        std::string answer(12, ' ');
        bool done = false;
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), m_ports.admin},
                             [&](auto error) {
                                 REQUIRE_FALSE(error);
                                 boost::asio::write(socket, boost::asio::buffer(request));
                                 boost::asio::async_read(socket, boost::asio::buffer(answer),
                                                         [&](auto, std::size_t) { done = true; });
                             });
        REQUIRE(runBoth([&] { return done; }));
        return static_cast<unsigned>(std::stoul(answer.substr(9)));
    }

    ApplyConfigResponse applyRules(const std::string &changeId, std::uint64_t expected)
    {
        ApplyConfigRequest request;
        request.set_document(Rules);
        request.set_change_id(changeId);
        request.set_expected_version(expected);
        return finish<ApplyConfigResponse>(*m_operator, "bluebellquay.v1.Operator/ApplyConfig",
                                           request);
    }
    SubmitRequest newSubmit()
    {
        ReserveIdsRequest reserve;
        reserve.set_count(1);
        SubmitRequest request;
        request.set_id(
            finish<ReserveIdsResponse>(*m_caller, "bluebellquay.v1.Dispatcher/ReserveIds", reserve)
                .ids(0));
        request.mutable_job()->set_branch("hinokuni");
        request.mutable_job()->set_kind("search");
        request.mutable_job()->add_tasks()->set_payload("question");
        return request;
    }
    auto startSubmit(const SubmitRequest &request)
    {
        return start<SubmissionResponse>(*m_caller, "bluebellquay.v1.Dispatcher/Submit", request);
    }
    void becomeReady()
    {
        REQUIRE(applyRules("first", 0).version() == 1);
        REQUIRE(runBoth([&] { return statusOf("/readyz") == 200; }));
    }

    boost::asio::io_context m_entryContext{1};
    std::unique_ptr<TableStandin> m_table =
        TableStandin::create(m_context, m_timers, anyPort()).value();
    TestAgent m_agent{m_context, m_timers, 10};
    std::unique_ptr<EntryDaemon> m_daemon;
    EntryPorts m_ports;
    std::unique_ptr<ConnectClient> m_operator;
    std::unique_ptr<ConnectClient> m_caller;
};

} // namespace

TEST_CASE_METHOD(EntryDaemonFixture, "A submission travels to its home and back", "[entrydaemon]")
{
    CHECK(statusOf("/healthz") == 200);
    CHECK(statusOf("/readyz") == 503);
    becomeReady();
    const SubmitRequest request = newSubmit();
    const auto result = startSubmit(request);
    REQUIRE(runBoth([&] { return !m_agent.submits.empty(); }));
    CHECK(m_agent.submits[0].job.tasks[0].payload == "question");
    m_agent.answer(m_agent.submits[0], "answer");
    REQUIRE(runBoth([&] { return result->has_value(); }));
    const auto &response = std::get<SubmissionResponse>(**result);
    CHECK(response.id() == request.id());
    CHECK(response.outcome() == bluebellquay::v1::OUTCOME_COMPLETED);
    REQUIRE(response.outputs_size() == 1);
    CHECK(response.outputs(0) == "answer");
    CHECK(statusOf("/metrics") == 200);
}

TEST_CASE_METHOD(EntryDaemonFixture, "Agents learn of a new version and get its text",
                 "[entrydaemon]")
{
    applyRules("first", 0);
    REQUIRE(runBoth([&] { return m_agent.entryVersion == ConfigVersion(1); }));
    m_agent.node->send(m_agent.entry, ConfigRequest{ConfigVersion()});
    REQUIRE(runBoth([&] { return !m_agent.documents.empty(); }));
    CHECK(m_agent.documents[0] == ConfigDocument{ConfigVersion(1), "first", Rules});
}

TEST_CASE_METHOD(EntryDaemonFixture, "The operator drains an agent by name", "[entrydaemon]")
{
    REQUIRE(runBoth([&] { return m_agent.entry != Incarnation(); }));
    DrainRequest request;
    request.set_agent("agent-10");
    CHECK(finish<DrainResponse>(*m_operator, "bluebellquay.v1.Operator/Drain", request).state()
          == "leaving");
}

TEST_CASE_METHOD(EntryDaemonFixture, "The home learns that a caller has closed its connection",
                 "[entrydaemon]")
{
    becomeReady();
    startSubmit(newSubmit());
    REQUIRE(runBoth([&] { return !m_agent.submits.empty(); }));
    m_caller.reset();
    CHECK(runBoth([&] { return m_agent.stopWaitings == 1; }));
}

TEST_CASE_METHOD(EntryDaemonFixture, "A planned stop finishes calls in progress", "[entrydaemon]")
{
    becomeReady();
    const auto answered = startSubmit(newSubmit());
    const auto open = startSubmit(newSubmit());
    REQUIRE(runBoth([&] { return m_agent.submits.size() == 2; }));
    m_daemon->beginStop();
    CHECK(statusOf("/readyz") == 503);
    m_agent.answer(m_agent.submits[0], "answer");
    REQUIRE(runBoth([&] { return answered->has_value(); }));
    CHECK(std::get<SubmissionResponse>(**answered).outcome()
          == bluebellquay::v1::OUTCOME_COMPLETED);
    // The other one is told to ask again before the stop timeout is over.
    REQUIRE(runBoth([&] { return open->has_value(); }));
    REQUIRE(std::holds_alternative<SubmissionResponse>(**open));
    const auto &response = std::get<SubmissionResponse>(**open);
    CHECK(response.outcome() == bluebellquay::v1::OUTCOME_UNKNOWN);
    CHECK(response.reason() == "home_silent");
    CHECK(response.retry_after_ms() > 0);
    CHECK(runBoth([&] { return m_entryContext.stopped(); }));
}
