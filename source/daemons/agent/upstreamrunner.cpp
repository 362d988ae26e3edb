#include "daemons/agent/upstreamrunner.h"

#include "bluebellquay/v1/upstream.pb.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace Bluebellquay {

namespace {

// Upper bound on the run time of one task. Tasks last seconds at most, so this only ends calls to
// an upstream that accepted a task and then hangs.
constexpr Duration MaxRunTime = std::chrono::minutes(15);
constexpr Duration StopTaskTimeout = std::chrono::seconds(2);

std::string taskName(const TaskKey &task)
{
    return task.submission.toString() + "/" + std::to_string(task.index.value());
}

} // namespace

UpstreamRunner::UpstreamRunner(boost::asio::io_context &context, TimerService &timers, Ended ended)
    : m_context(context)
    , m_timers(timers)
    , m_ended(std::move(ended))
{ }

bool UpstreamRunner::connect(std::uint64_t incarnation, const std::string &address,
                             std::uint32_t maxConnections)
{
    if (connectedTo(incarnation))
        return true;
    ConnectClientSettings settings;
    settings.address = address;
    settings.maxConnections = maxConnections;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(client, ConnectClient::create(m_context, settings));
            m_client = std::move(client);
            m_incarnation = incarnation;
            reportAllLost();
            return true;
        },
        [] { return false; });
}

void UpstreamRunner::start(StartTask task)
{
    if (m_client == nullptr) {
        boost::asio::post(m_context, [this, key = task.task] {
            m_ended(key, RunEnd::NotStarted, TaskOutcome());
        });
        return;
    }
    bluebellquay::v1::RunTaskRequest request;
    request.set_task(taskName(task.task));
    request.set_attempt(task.task.attempt.value());
    request.set_branch(std::move(task.branch));
    request.set_kind(std::move(task.kind));
    request.set_payload(std::move(task.payload));
    m_running.emplace(task.task, Run{m_timers.now()});
    m_client->call<bluebellquay::v1::RunTaskResponse>(
        "bluebellquay.v1.Upstream/RunTask", request, MaxRunTime,
        [this, key = task.task](ConnectResult<bluebellquay::v1::RunTaskResponse> result) {
            TaskOutcome outcome;
            if (auto *error = std::get_if<ConnectError>(&result)) {
                if (!error->requestSent)
                    return finish(key, RunEnd::NotStarted, std::move(outcome));
                if (!error->fromPeer)
                    return finish(key, RunEnd::Lost, std::move(outcome));
                outcome.error = std::string(toString(error->code)) + ": " + error->message;
                return finish(key, RunEnd::Finished, std::move(outcome));
            }
            auto &response = std::get<bluebellquay::v1::RunTaskResponse>(result);
            outcome.succeeded = response.succeeded();
            outcome.output = std::move(*response.mutable_output());
            outcome.error = std::move(*response.mutable_error());
            finish(key, RunEnd::Finished, std::move(outcome));
        });
}

void UpstreamRunner::stop(const TaskKey &task)
{
    if (!m_running.contains(task))
        return;
    bluebellquay::v1::StopTaskRequest request;
    request.set_task(taskName(task));
    request.set_attempt(task.attempt.value());
    // The end of the task is reported by its RunTask call, whatever this call returns.
    m_client->call<bluebellquay::v1::StopTaskResponse>(
        "bluebellquay.v1.Upstream/StopTask", request, StopTaskTimeout,
        [](const ConnectResult<bluebellquay::v1::StopTaskResponse> &) {});
}

void UpstreamRunner::finish(const TaskKey &task, RunEnd end, TaskOutcome outcome)
{
    const auto position = m_running.find(task);
    if (position == m_running.end())
        return;
    outcome.runTime = m_timers.now() - position->second.startedAt;
    m_running.erase(position);
    m_ended(task, end, outcome);
}

// Reports all running tasks as Lost. Destroying the earlier client ended its calls without
// invoking their handlers.
void UpstreamRunner::reportAllLost()
{
    const auto lost = std::exchange(m_running, {});
    for (const auto &[task, run] : lost) {
        TaskOutcome outcome;
        outcome.runTime = m_timers.now() - run.startedAt;
        m_ended(task, RunEnd::Lost, outcome);
    }
}

} // namespace Bluebellquay
