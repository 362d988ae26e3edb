// Guards against an upstream stand-in that miscounts starts, on which the proof of at-most-once
// execution rests, or that ends before its tasks.
#include "standins/upstreamstandin.h"
#include "standins/standinfixture.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace Bluebellquay;
using namespace bluebellquay::v1;
using namespace standins::v1;

namespace {

// The agent's part of the registration.
class Registry
{
public:
    Registry(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint)
    {
        ConnectServerSettings settings;
        settings.endpoint = endpoint;
        m_server = ConnectServer::create(context, settings).value();
        m_server->handle<AnnounceRequest, AnnounceResponse>(
            "bluebellquay.v1.UpstreamRegistry/Announce",
            [this](const AnnounceRequest &request, const CallContext &, const auto &done) {
                announced.push_back(request);
                done(AnnounceResponse());
            });
        m_server->handle<LeaveRequest, LeaveResponse>(
            "bluebellquay.v1.UpstreamRegistry/Leave",
            [this](const LeaveRequest &request, const CallContext &, const auto &done) {
                left.push_back(request.incarnation());
                done(LeaveResponse());
            });
    }
    unsigned short port() const { return m_server->port(); }

    std::vector<AnnounceRequest> announced;
    std::vector<std::uint64_t> left;

private:
    std::unique_ptr<ConnectServer> m_server;
};

class UpstreamFixture : public StandinFixture
{
protected:
    std::unique_ptr<UpstreamStandin> createUpstream(const std::string &startLog = "")
    {
        UpstreamStandinSettings settings;
        settings.endpoint = anyPort();
        settings.agent = address(m_registry.port());
        settings.slots = 3;
        settings.announceInterval = std::chrono::milliseconds(10);
        return UpstreamStandin::create(m_context, m_timers, settings,
                                       StartLog::open(startLog).value())
            .value();
    }
    static RunTaskRequest taskRequest(const std::string &task, const std::string &payload)
    {
        RunTaskRequest request;
        request.set_task(task);
        request.set_attempt(1);
        request.set_payload(payload);
        return request;
    }
    RunTaskResponse runTask(const std::string &task, const std::string &payload)
    {
        return mustCall<RunTaskResponse>(m_upstream->port(), "bluebellquay.v1.Upstream/RunTask",
                                         taskRequest(task, payload));
    }
    void stopTask(const std::string &task)
    {
        StopTaskRequest request;
        request.set_task(task);
        request.set_attempt(1);
        mustCall<StopTaskResponse>(m_upstream->port(), "bluebellquay.v1.Upstream/StopTask",
                                   request);
    }
    UpstreamState state()
    {
        return mustCall<UpstreamState>(
            m_upstream->port(), "standins.v1.UpstreamControl/GetUpstreamState", GetStateRequest());
    }
    std::vector<TaskStarts> starts(const GetStartsRequest &request)
    {
        const auto response = mustCall<GetStartsResponse>(
            m_upstream->port(), "standins.v1.UpstreamControl/GetStarts", request);
        return {response.tasks().begin(), response.tasks().end()};
    }

    Registry m_registry{m_context, anyPort()};
    std::unique_ptr<UpstreamStandin> m_upstream = createUpstream();
};

} // namespace

TEST_CASE_METHOD(UpstreamFixture, "An upstream announces itself again and again", "[standins]")
{
    REQUIRE(runUntil([&] { return m_registry.announced.size() >= 3; }));
    const AnnounceRequest &first = m_registry.announced.front();
    CHECK(first.address() == address(m_upstream->port()));
    CHECK(first.slots() == 3);
    CHECK(first.incarnation() != 0);
    CHECK(m_registry.announced.back().incarnation() == first.incarnation());
    const auto other = createUpstream();
    REQUIRE(
        runUntil([&] { return m_registry.announced.back().incarnation() != first.incarnation(); }));
}

TEST_CASE_METHOD(UpstreamFixture, "A task does what its payload says", "[standins]")
{
    const TimePoint start = m_timers.now();
    const RunTaskResponse timed = runTask("s/0", R"({"run_ms":40,"echo":"text"})");
    CHECK(m_timers.now() - start >= std::chrono::milliseconds(40));
    CHECK(timed.succeeded());
    CHECK(timed.output() == R"({"echo":"text","task":"s/0"})");
    const RunTaskResponse failing = runTask("s/1", R"({"fail":true,"echo":"text"})");
    CHECK_FALSE(failing.succeeded());
    CHECK(failing.output().empty());
    for (const char *payload : {"", "[]", R"({"run_ms":-1})", R"({"run_ms":1e300})",
                                R"({"unknown":1})", R"({"echo":3})"}) {
        INFO(payload);
        CHECK_FALSE(runTask("s/2", payload).succeeded());
    }
}

TEST_CASE_METHOD(UpstreamFixture, "Each start is counted by task and attempt", "[standins]")
{
    for (const char *task : {"a/0", "a/0", "a/1", "b/0"})
        runTask(task, "{}");
    const auto all = starts({});
    REQUIRE(all.size() == 3);
    CHECK(all[0].task() == "a/0");
    CHECK(all[0].starts() == 2);
    GetStartsRequest repeated;
    repeated.set_min_starts(2);
    CHECK(starts(repeated).size() == 1);
    GetStartsRequest ofJob;
    ofJob.set_prefix("a/");
    CHECK(starts(ofJob).size() == 2);
    CHECK(state().starts() == 4);
    CHECK(state().repeated_attempts() == 1);
}

TEST_CASE_METHOD(UpstreamFixture, "The start log has a line before the task ends", "[standins]")
{
    std::string folder = (std::filesystem::temp_directory_path() / "starts-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    const std::string path = folder + "/starts";
    std::ofstream(path) << "earlier 1\n";
    m_upstream = createUpstream(path);
    std::optional<ConnectResult<RunTaskResponse>> result;
    send(m_upstream->port(), "bluebellquay.v1.Upstream/RunTask",
         taskRequest("s/0", R"({"run_ms":3000000})"), result);
    CHECK(runUntil([&] { return state().running() == 1; }));
    std::ifstream file(path);
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    CHECK(content == "earlier 1\ns/0 1\n");
    CHECK_FALSE(result);
    std::filesystem::remove_all(folder);
}

TEST_CASE_METHOD(UpstreamFixture, "A stopped task fails at once, others run on", "[standins]")
{
    std::optional<ConnectResult<RunTaskResponse>> stopped;
    std::optional<ConnectResult<RunTaskResponse>> other;
    const std::string endless = R"({"run_ms":3000000})";
    send(m_upstream->port(), "bluebellquay.v1.Upstream/RunTask", taskRequest("s/0", endless),
         stopped);
    send(m_upstream->port(), "bluebellquay.v1.Upstream/RunTask", taskRequest("s/1", endless),
         other);
    REQUIRE(runUntil([&] { return state().running() == 2; }));
    stopTask("s/0");
    REQUIRE(runUntil([&] { return stopped.has_value(); }));
    REQUIRE(std::holds_alternative<RunTaskResponse>(*stopped));
    CHECK_FALSE(std::get<RunTaskResponse>(*stopped).succeeded());
    CHECK(state().running() == 1);
    CHECK_FALSE(other);
}

TEST_CASE_METHOD(UpstreamFixture, "An upstream that fails everything still counts", "[standins]")
{
    UpstreamBehaviour behaviour;
    behaviour.set_fail_everything(true);
    mustCall<UpstreamState>(m_upstream->port(), "standins.v1.UpstreamControl/SetBehaviour",
                            behaviour);
    CHECK_FALSE(runTask("s/0", "{}").succeeded());
    CHECK(starts({}).size() == 1);
}

TEST_CASE_METHOD(UpstreamFixture, "A leaving upstream finishes what runs", "[standins]")
{
    REQUIRE(runUntil([&] { return !m_registry.announced.empty(); }));
    std::optional<ConnectResult<RunTaskResponse>> result;
    send(m_upstream->port(), "bluebellquay.v1.Upstream/RunTask",
         taskRequest("s/0", R"({"run_ms":3000000})"), result);
    REQUIRE(runUntil([&] { return state().running() == 1; }));
    bool finished = false;
    m_upstream->leave([&] { finished = true; });
    REQUIRE(runUntil([&] { return !m_registry.left.empty(); }));
    CHECK(m_registry.left.front() == m_registry.announced.front().incarnation());
    CHECK(state().running() == 1);
    CHECK_FALSE(finished);
    stopTask("s/0");
    REQUIRE(runUntil([&] { return finished; }));
    REQUIRE(runUntil([&] { return result.has_value(); }));
    CHECK(std::holds_alternative<RunTaskResponse>(*result));
}
