#include "core/jobtable.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// A waiting task's place in the queue, and its timers.
constexpr std::size_t WaitingTaskBytes = 128;

bool isUnstarted(const KeyedJob &job)
{
    return !job.released && job.ordersSent == 0;
}

} // namespace

std::size_t JobTable::bytesOf(const KeyedJobSpec &spec)
{
    std::size_t bytes = sizeof(KeyedJob) + spec.payload.size();
    for (const KeyedStep &step : spec.steps)
        bytes += sizeof(KeyedStep) + step.after.size() * sizeof(step.after.front())
            + step.requiredLabel.size() + step.dataRack.size()
            + step.tasks * (sizeof(KeyedTask) + WaitingTaskBytes);
    return bytes;
}

KeyedJob *JobTable::find(JobKey key)
{
    const auto position = m_jobs.find(key);
    return position == m_jobs.end() ? nullptr : &position->second;
}

KeyedTask *JobTable::findTask(const RunKey &run, Incarnation agent)
{
    KeyedJob *job = find(run.job);
    if (job == nullptr || run.step >= job->tasks.size() || run.index >= job->tasks[run.step].size())
        return nullptr;
    KeyedTask &task = job->tasks[run.step][run.index];
    const bool current =
        task.phase == TaskPhase::Ordered && task.run == run.run && task.agent == agent;
    return current ? &task : nullptr;
}

KeyedJob &JobTable::add(KeyedJob job)
{
    const JobKey key = job.spec.key;
    for (const CallId call : job.calls)
        m_calls[call] = key;
    m_bytes += bytesOf(job.spec);
    return m_jobs[key] = std::move(job);
}

void JobTable::join(KeyedJob &job, CallId call, TimePoint deadline)
{
    m_calls[call] = job.spec.key;
    job.calls.push_back(call);
    job.deadline = std::max(job.deadline, deadline);
}

void JobTable::follow(KeyedJob &released, KeyedJob::Successor submission, CallId call)
{
    m_calls[call] = released.spec.key;
    if (!released.successor)
        released.successor = std::move(submission);
    released.successor->calls.push_back(call);
}

KeyedJob *JobTable::leave(CallId call)
{
    const auto position = m_calls.find(call);
    if (position == m_calls.end())
        return nullptr;
    KeyedJob &job = m_jobs.at(position->second);
    m_calls.erase(position);
    std::erase(job.calls, call);
    if (job.successor) {
        std::erase(job.successor->calls, call);
        if (job.successor->calls.empty())
            job.successor.reset();
    }
    return job.calls.empty() && !job.released ? &job : nullptr;
}

std::vector<CallId> JobTable::takeCalls(KeyedJob &job)
{
    for (const CallId call : job.calls)
        m_calls.erase(call);
    return std::exchange(job.calls, {});
}

std::optional<JobTable::Drained> JobTable::removeIfDrained(JobKey key)
{
    const auto position = m_jobs.find(key);
    if (position == m_jobs.end() || !position->second.released || position->second.openRuns > 0)
        return std::nullopt;
    KeyedJob &job = position->second;
    Drained drained{std::move(job.releaseRequests), std::nullopt};
    if (job.successor)
        drained.successor = makeSuccessorJob(std::move(*job.successor), highestRun(job));
    m_bytes -= bytesOf(job.spec);
    m_jobs.erase(position);
    return drained;
}

std::vector<JobKey> JobTable::unreleased() const
{
    std::vector<JobKey> keys;
    for (const auto &[key, job] : m_jobs) {
        if (!job.released)
            keys.push_back(key);
    }
    return keys;
}

std::vector<JobKey> JobTable::unstarted() const
{
    std::vector<JobKey> keys;
    for (const auto &[key, job] : m_jobs) {
        if (isUnstarted(job))
            keys.push_back(key);
    }
    return keys;
}

std::size_t JobTable::unstarted(const std::string &queue) const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &item) {
            return isUnstarted(item.second) && item.second.rule.name == queue;
        }));
}

} // namespace Bluebellquay
