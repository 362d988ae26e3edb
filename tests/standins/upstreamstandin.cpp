#include "standins/upstreamstandin.h"

#include "config/networkaddress.h"

#include <algorithm>
#include <random>

namespace Bluebellquay {

namespace {

using bluebellquay::v1::RunTaskRequest;
using bluebellquay::v1::RunTaskResponse;

constexpr Duration AgentTimeout{1'000'000};
constexpr Duration LeaveRetryDelay{200'000};
// An agent that does not answer that often is gone, and needs no Leave.
constexpr std::uint32_t MaxLeaveAttempts = 5;

std::uint64_t drawIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1U;
}

} // namespace

boost::leaf::result<std::unique_ptr<UpstreamStandin>>
UpstreamStandin::create(boost::asio::io_context &context, TimerService &timers,
                        UpstreamStandinSettings settings, StartLog startLog)
{
    ConnectServerSettings serverSettings;
    serverSettings.endpoint = settings.endpoint;
    BOOST_LEAF_AUTO(server, ConnectServer::create(context, std::move(serverSettings)));
    std::unique_ptr<ConnectClient> agent;
    if (!settings.agent.empty()) {
        ConnectClientSettings clientSettings;
        clientSettings.address = settings.agent;
        BOOST_LEAF_ASSIGN(agent, ConnectClient::create(context, std::move(clientSettings)));
    }
    return std::unique_ptr<UpstreamStandin>(new UpstreamStandin(
        timers, std::move(settings), std::move(startLog), std::move(server), std::move(agent)));
}

UpstreamStandin::UpstreamStandin(TimerService &timers, UpstreamStandinSettings settings,
                                 StartLog startLog, std::unique_ptr<ConnectServer> server,
                                 std::unique_ptr<ConnectClient> agent)
    : m_timers(timers)
    , m_settings(std::move(settings))
    , m_incarnation(drawIncarnation())
    , m_startLog(std::move(startLog))
    , m_agent(std::move(agent))
    , m_server(std::move(server))
{
    m_settings.endpoint.port(m_server->port());
    m_behaviour.set_fail_everything(m_settings.failEverything);
    addTaskHandlers();
    addControlHandlers();
    if (m_agent) {
        m_announceTimer =
            m_timers.every(m_settings.announceInterval, [this](TimePoint) { announce(); });
        announce();
    }
}

void UpstreamStandin::addTaskHandlers()
{
    using namespace bluebellquay::v1;
    m_server->handle<RunTaskRequest, RunTaskResponse>(
        "bluebellquay.v1.Upstream/RunTask",
        [this](const RunTaskRequest &request, const CallContext &, auto done) {
            run(request, std::move(done));
        });
    m_server->handle<StopTaskRequest, StopTaskResponse>(
        "bluebellquay.v1.Upstream/StopTask",
        [this](const StopTaskRequest &request, const CallContext &, const auto &done) {
            stopTask(request);
            done(StopTaskResponse());
        });
}

void UpstreamStandin::addControlHandlers()
{
    using namespace standins::v1;
    m_server->handle<UpstreamBehaviour, UpstreamState>(
        "standins.v1.UpstreamControl/SetBehaviour",
        [this](const UpstreamBehaviour &request, const CallContext &, const auto &done) {
            m_behaviour = request;
            done(state());
        });
    m_server->handle<GetStateRequest, UpstreamState>(
        "standins.v1.UpstreamControl/GetUpstreamState",
        [this](const GetStateRequest &, const CallContext &, const auto &done) { done(state()); });
    m_server->handle<GetStartsRequest, GetStartsResponse>(
        "standins.v1.UpstreamControl/GetStarts",
        [this](const GetStartsRequest &request, const CallContext &, const auto &done) {
            done(m_startLog.select(request));
        });
}

void UpstreamStandin::announce()
{
    if (m_behaviour.mute_announcements())
        return;
    bluebellquay::v1::AnnounceRequest request;
    request.set_incarnation(m_incarnation);
    request.set_address(toString(m_settings.endpoint));
    request.set_slots(m_settings.slots);
    request.set_connections(m_settings.connections);
    request.set_milli_processors(m_settings.milliProcessors);
    request.set_memory_bytes(m_settings.memoryBytes);
    m_agent->call<bluebellquay::v1::AnnounceResponse>(
        "bluebellquay.v1.UpstreamRegistry/Announce", request, AgentTimeout,
        [this](const ConnectResult<bluebellquay::v1::AnnounceResponse> &result) {
            if (std::holds_alternative<bluebellquay::v1::AnnounceResponse>(result))
                ++m_announcements;
        });
}

void UpstreamStandin::leave(std::function<void()> finished)
{
    m_left = std::move(finished);
    m_announceTimer.cancel();
    if (m_agent) {
        sendLeave(1);
        return;
    }
    m_leaveSent = true;
    checkLeft();
}

void UpstreamStandin::sendLeave(std::uint32_t attempt)
{
    bluebellquay::v1::LeaveRequest request;
    request.set_incarnation(m_incarnation);
    m_agent->call<bluebellquay::v1::LeaveResponse>(
        "bluebellquay.v1.UpstreamRegistry/Leave", request, AgentTimeout,
        [this, attempt](const ConnectResult<bluebellquay::v1::LeaveResponse> &result) {
            const bool answered = std::holds_alternative<bluebellquay::v1::LeaveResponse>(result);
            if (answered || attempt == MaxLeaveAttempts) {
                m_leaveSent = true;
                checkLeft();
                return;
            }
            m_leaveTimer = m_timers.at(m_timers.now() + LeaveRetryDelay,
                                       [this, attempt](TimePoint) { sendLeave(attempt + 1); });
        });
}

// Stops the server, so that the answers of the last tasks are written before the callback.
void UpstreamStandin::checkLeft()
{
    if (m_left && m_leaveSent && m_running.empty())
        m_server->stop(std::exchange(m_left, nullptr));
}

Duration UpstreamStandin::runTime(const TaskProgram &program) const
{
    const double factor = m_behaviour.run_time_factor();
    if (factor <= 0)
        return program.runTime;
    return std::chrono::duration_cast<Duration>(program.runTime * factor);
}

void UpstreamStandin::run(const RunTaskRequest &request, RunDone done)
{
    if (!m_startLog.record(request.task(), request.attempt())) {
        done(ConnectError{ConnectCode::Internal, "can't write the start log"});
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    RunningTask &task = m_running[number];
    task.done = std::move(done);
    m_byTask.emplace(TaskAttemptKey(request.task(), request.attempt()), number);
    m_mostRunning = std::max(m_mostRunning, static_cast<std::uint32_t>(m_running.size()));
    const std::optional<TaskProgram> program = TaskProgram::parse(request.payload());
    if (m_behaviour.fail_everything() || !program) {
        finish(number, program ? "this upstream fails everything" : "the payload is not a program");
        return;
    }
    task.output = program->output(request.task());
    task.fail = program->fail;
    if (program->runTime <= Duration(0)) {
        finish(number, "");
        return;
    }
    task.end = m_timers.at(m_timers.now() + runTime(*program),
                           [this, number](TimePoint) { finish(number, ""); });
}

void UpstreamStandin::stopTask(const bluebellquay::v1::StopTaskRequest &request)
{
    const auto [first, last] = m_byTask.equal_range({request.task(), request.attempt()});
    std::vector<std::uint64_t> numbers;
    for (auto position = first; position != last; ++position)
        numbers.push_back(position->second);
    for (const std::uint64_t number : numbers)
        finish(number, "stopped");
}

void UpstreamStandin::finish(std::uint64_t number, const std::string &error)
{
    const auto position = m_running.find(number);
    if (position == m_running.end())
        return;
    const RunningTask task = std::move(position->second);
    m_running.erase(position);
    std::erase_if(m_byTask, [number](const auto &entry) { return entry.second == number; });
    ++m_finished;
    RunTaskResponse response;
    response.set_succeeded(error.empty() && !task.fail);
    if (response.succeeded())
        response.set_output(task.output);
    else
        response.set_error(error.empty() ? "the program says that the task fails" : error);
    task.done(response);
    checkLeft();
}

standins::v1::UpstreamState UpstreamStandin::state() const
{
    standins::v1::UpstreamState state;
    *state.mutable_behaviour() = m_behaviour;
    state.set_incarnation(m_incarnation);
    state.set_running(static_cast<std::uint32_t>(m_running.size()));
    state.set_most_running(m_mostRunning);
    state.set_starts(m_startLog.starts());
    state.set_finished(m_finished);
    state.set_repeated_attempts(m_startLog.repeatedAttempts());
    state.set_announcements(m_announcements);
    return state;
}

} // namespace Bluebellquay
