#include "core/jobsupervisor.h"

#include "core/dispatchlog.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

// 100 ms. Interval between checks whether a late job can still be served.
constexpr Duration LateCheckInterval{100'000};

} // namespace

void JobSupervisor::add(TimePoint now, KeyedJob opened)
{
    KeyedJob &job = m_jobs.add(std::move(opened));
    const JobKey key = job.spec.key;
    setObjective(job, m_waitingShare);
    job.rank = m_order.rank(now, job);
    m_waiting.noteIfEmpty(now);
    m_demand.arrived(now, job);
    m_loads.arrived(now, job);
    job.tasksLeft = static_cast<std::uint32_t>(taskCount(job.spec));
    for (const KeyedStep &step : job.spec.steps)
        job.tasks.emplace_back(step.tasks);
    makeReadySteps(now, job);
    m_timers.schedule(job.latestStart, JobTimer{JobTimerKind::Late, {key, 0, 0}});
    m_timers.schedule(std::max(now, startTimeout(job)),
                      JobTimer{JobTimerKind::StartTimeout, {key, 0, 0}});
    m_timers.schedule(job.deadline, JobTimer{JobTimerKind::Deadline, {key, 0, 0}});
}

void JobSupervisor::join(KeyedJob &known, CallId call, TimePoint deadline)
{
    m_timers.schedule(deadline, JobTimer{JobTimerKind::Deadline, {known.spec.key, 0, 0}});
    m_jobs.join(known, call, deadline);
}

void JobSupervisor::makeReadySteps(TimePoint now, KeyedJob &job)
{
    for (const std::uint32_t step : unblockSteps(job)) {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index)
            m_waiting.add(now, job, {job.spec.key, step, index});
    }
}

void JobSupervisor::retryTask(TimePoint now, KeyedJob &job, const TaskRef &ref, Duration delay)
{
    KeyedTask &task = job.tasks[ref.step][ref.index];
    if (job.released) {
        task.phase = TaskPhase::Blocked;
        return;
    }
    if (delay > Duration(0)) {
        task.phase = TaskPhase::Delayed;
        m_timers.schedule(now + delay, JobTimer{JobTimerKind::TaskReady, ref});
        return;
    }
    task.phase = TaskPhase::Ready;
    m_waiting.add(now, job, ref);
}

void JobSupervisor::demote(TimePoint now, KeyedJob &job)
{
    const std::vector<TaskRef> waiting = m_waiting.removeAll(job);
    job.rank = m_order.rank(now, job);
    for (const TaskRef &ref : waiting)
        m_waiting.add(now, job, ref);
    m_timers.schedule(now + LateCheckInterval, JobTimer{JobTimerKind::Late, {job.spec.key, 0, 0}});
}

void JobSupervisor::finish(TimePoint now, KeyedJob &job, const Answer &answer, std::size_t agents,
                           DispatchOutbox &out)
{
    logJobEnded(job, answer, now, m_waiting.size(), agents);
    m_statistics.count(answer.outcome);
    for (const CallId call : m_jobs.takeCalls(job))
        out.answers.push_back({call, answer});
    release(job, out);
}

void JobSupervisor::release(KeyedJob &job, DispatchOutbox &out)
{
    job.released = true;
    m_waiting.removeAll(job);
    for (auto &[agent, message] : runsToStop(job))
        out.messages.emplace_back(agent, std::move(message));
}

void JobSupervisor::removeIfDrained(TimePoint now, JobKey key, DispatchOutbox &out)
{
    std::optional<JobTable::Drained> drained = m_jobs.removeIfDrained(key);
    if (!drained)
        return;
    for (const auto &[entry, number] : drained->releaseRequests)
        out.messages.emplace_back(entry, JobReleased{number, true});
    if (!drained->successor)
        return;
    m_forecast.apply(*drained->successor);
    add(now, std::move(*drained->successor));
}

StopRuns JobSupervisor::released(const std::vector<RunKey> &runs)
{
    StopRuns stops;
    for (const RunKey &run : runs) {
        const KeyedJob *job = m_jobs.find(run.job);
        if (job != nullptr && job->released)
            stops.runs.push_back(run);
    }
    return stops;
}

} // namespace Bluebellquay
