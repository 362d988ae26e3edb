#include "core/rundispatcher.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// 2 ms. A longer delay would let less urgent tasks be placed first.
constexpr Duration ReturnedOrderRetryDelay{2'000};
// 100 ms. Interval between checks whether a task under which a worker has crashed must still wait:
// the few workers of a confined queue are kept for other tasks.
constexpr Duration CrashedTaskDelay{100'000};
// 100 ms. Interval between checks whether a late job can still be served.
constexpr Duration LateCheckInterval{100'000};

Answer endedWith(Outcome outcome, Reason reason)
{
    Answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    return answer;
}

} // namespace

RunDispatcher::RunDispatcher(RunDispatcherSettings settings)
    : m_settings(std::move(settings))
    , m_refusal(m_settings.overload)
    , m_placer({m_settings.dataCentre, m_settings.remoteDataFactor, m_settings.reservedDeviations,
                m_settings.choice, m_settings.seed})
{ }

void RunDispatcher::submit(TimePoint now, CallId call, KeyedJobSpec spec, const QueueRule &rule,
                           std::optional<Duration> timeout, RunNumber firstRun, DispatchOutbox &out)
{
    ++m_statistics.jobsSubmitted;
    const TimePoint deadline = now + timeout.value_or(m_settings.defaultTimeout);
    if (KeyedJob *known = m_jobs.find(spec.key)) {
        if (known->released)
            return m_jobs.follow(*known, {std::move(spec), rule, {}, now, deadline}, call);
        m_timers.schedule(deadline, Timer{TimerKind::Deadline, {spec.key, 0, 0}, {}});
        return m_jobs.join(*known, call, deadline);
    }
    KeyedJob job;
    job.spec = std::move(spec);
    job.rule = rule;
    job.calls.push_back(call);
    job.arrived = now;
    job.deadline = deadline;
    job.lastRun = firstRun;
    m_forecast.apply(job);
    if (m_jobs.size() >= m_settings.maxJobs) {
        ++m_statistics.jobsRefused;
        out.answers.push_back({call, refusal(now, job, Reason::Overload)});
        return;
    }
    if (m_stopTime && now + job.estimate.criticalPath > *m_stopTime) {
        ++m_statistics.jobsRefused;
        out.answers.push_back({call, refusal(now, job, Reason::Stopping)});
        return;
    }
    const JobKey key = job.spec.key;
    if (m_crashes.givenUp(key)) {
        ++m_statistics.jobsCrashing;
        out.answers.push_back({call, endedWith(Outcome::Failed, Reason::FailsEverywhere)});
        return;
    }
    addJob(now, std::move(job));
    dispatch(now, out);
    KeyedJob &opened = m_jobs.at(key);
    if (opened.ordersSent == 0)
        refuseIfHopeless(now, opened, out);
}

void RunDispatcher::addJob(TimePoint now, KeyedJob opened)
{
    KeyedJob &job = m_jobs.add(std::move(opened));
    const JobKey key = job.spec.key;
    setObjective(job, m_settings.waitingShare);
    job.rank = m_settings.order.rank(now, job);
    m_waiting.noteIfEmpty(now);
    m_demand.arrived(now, job);
    m_queueLoads.arrived(now, job);
    job.tasksLeft = static_cast<std::uint32_t>(taskCount(job.spec));
    for (const KeyedStep &step : job.spec.steps)
        job.tasks.emplace_back(step.tasks);
    makeReadySteps(now, job);
    m_timers.schedule(job.latestStart, Timer{TimerKind::Late, {key, 0, 0}, {}});
    m_timers.schedule(std::max(now, startTimeout(job)),
                      Timer{TimerKind::StartTimeout, {key, 0, 0}, {}});
    m_timers.schedule(job.deadline, Timer{TimerKind::Deadline, {key, 0, 0}, {}});
}

void RunDispatcher::makeReadySteps(TimePoint now, KeyedJob &job)
{
    for (const std::uint32_t step : unblockSteps(job)) {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index)
            m_waiting.add(now, job, {job.spec.key, step, index});
    }
}

void RunDispatcher::dispatch(TimePoint now, DispatchOutbox &out)
{
    m_isolation.advance(now);
    auto messages =
        m_placer.place(now, {m_jobs, m_waiting, m_workers, m_runsAtAgents, m_demand, m_isolation});
    m_waiting.noteIfEmpty(now);
    for (auto &[agent, message] : messages) {
        m_statistics.orders += message.orders.size();
        out.messages.emplace_back(agent, std::move(message));
    }
}

void RunDispatcher::callerLeft(TimePoint now, CallId call, DispatchOutbox &out)
{
    KeyedJob *abandoned = m_jobs.leave(call);
    if (abandoned == nullptr)
        return;
    ++m_statistics.jobsAbandoned;
    const JobKey key = abandoned->spec.key;
    release(*abandoned, out);
    removeIfDrained(now, key, out);
    dispatch(now, out);
}

bool RunDispatcher::cancel(TimePoint now, JobKey key, DispatchOutbox &out)
{
    KeyedJob *job = m_jobs.find(key);
    if (job == nullptr)
        return false;
    if (!job->released) {
        const bool begun = job->ordersSent > 0;
        finish(now, *job,
               begun ? endedWith(Outcome::Failed, Reason::Cancelled)
                     : endedWith(Outcome::NotRun, Reason::CancelledBeforeStart),
               out);
        removeIfDrained(now, key, out);
    }
    return true;
}

void RunDispatcher::handle(TimePoint now, Incarnation entry, const ReleaseJob &message,
                           DispatchOutbox &out)
{
    KeyedJob *job = m_jobs.find(message.job);
    if (job == nullptr) {
        out.messages.emplace_back(entry, JobReleased{message.number, false});
        return;
    }
    job->releaseRequests.emplace_back(entry, message.number);
    cancel(now, message.job, out);
    removeIfDrained(now, message.job, out);
}

void RunDispatcher::abandonAll(TimePoint now, DispatchOutbox &out)
{
    for (const JobKey key : m_jobs.unreleased()) {
        KeyedJob &job = m_jobs.at(key);
        finish(now, job, endedWith(Outcome::Unknown, Reason::HomeSilent), out);
        removeIfDrained(now, key, out);
    }
}

void RunDispatcher::setEvacuated(TimePoint now, const std::set<std::string> &dataCentres,
                                 DispatchOutbox &out)
{
    m_workers.setEvacuated(dataCentres);
    refuseHopelessJobs(now, out);
    dispatch(now, out);
}

void RunDispatcher::refuseHopelessJobs(TimePoint now, DispatchOutbox &out)
{
    for (const JobKey key : m_jobs.unstarted())
        refuseIfHopeless(now, m_jobs.at(key), out);
}

void RunDispatcher::agentUp(TimePoint now, const ProcessInfo &agent, DispatchOutbox &out)
{
    m_workers.linkUp(agent);
    // Before the question, which makes the agent let the other runs go on.
    repeatStops(agent.incarnation, out);
    out.messages.emplace_back(agent.incarnation, RunsAtAgent{m_runsAtAgents.at(agent.incarnation)});
    dispatch(now, out);
}

void RunDispatcher::agentDown(TimePoint now, Incarnation agent)
{
    m_workers.linkDown(now, agent);
    m_timers.schedule(now + m_settings.agentGoneAfter, Timer{TimerKind::AgentExpiry, {}, agent});
}

void RunDispatcher::handle(TimePoint now, Incarnation agent, const WorkerRoom &message,
                           DispatchOutbox &out)
{
    const WorkerRecord *record = m_workers.find(agent);
    const bool wasUp =
        record != nullptr && record->room && record->room->accepting && record->room->settled;
    if (record == nullptr || !m_workers.updateRoom(agent, message))
        return;
    if (wasUp && !message.settled)
        workerCrashed(now, *record, out);
    if (message.settled) {
        markRuns(agent, false);
        // A settled worker runs nothing that an earlier incarnation of its agent started, so the
        // runs of that incarnation are over.
        for (const Incarnation incarnation : m_workers.replacedBy(agent))
            expireAgent(now, incarnation, AgentGoneReason::Replaced, out);
    }
    dispatch(now, out);
}

void RunDispatcher::handle(TimePoint now, Incarnation agent, const RunsEnded &message,
                           DispatchOutbox &out)
{
    for (const EndedRun &ended : message.runs)
        runEnded(now, ended, agent, out);
    dispatch(now, out);
}

void RunDispatcher::workerCrashed(TimePoint now, const WorkerRecord &record, DispatchOutbox &out)
{
    ++m_statistics.workerCrashes;
    markRuns(record.agent.incarnation, true);
    const std::string &service = record.room->service;
    m_isolation.workerCrashed(now, service, record.agent.name, m_queueLoads.loaded(now, service),
                              m_workers.agentNames(service));
    refuseHopelessJobs(now, out);
}

void RunDispatcher::adoptConfinement(TimePoint now, const Confinement &confinement,
                                     bool otherGoesFirst, DispatchOutbox &out)
{
    m_isolation.adopt(now, confinement, otherGoesFirst);
    dispatch(now, out);
}

void RunDispatcher::markRuns(Incarnation agent, bool workerCrashed)
{
    for (const RunKey &run : m_runsAtAgents.at(agent)) {
        if (KeyedTask *task = m_jobs.findTask(run, agent))
            task->workerCrashed = workerCrashed;
    }
}

void RunDispatcher::runEnded(TimePoint now, const EndedRun &ended, Incarnation agent,
                             DispatchOutbox &out)
{
    if (!m_runsAtAgents.remove(agent, ended.run))
        return;
    KeyedTask *task = m_jobs.findTask(ended.run, agent);
    if (task == nullptr)
        return;
    KeyedJob &job = m_jobs.at(ended.run.job);
    const TaskRef ref{ended.run.job, ended.run.step, ended.run.index};
    --job.openRuns;
    if (ended.end != RunResult::Done && !job.released)
        logRunEnded(job, ended, m_workers.nameOf(agent));
    m_statistics.count(ended.end);
    if (ended.end != RunResult::Done)
        task->avoidedAgent = agent;
    switch (ended.end) {
    case RunResult::Done:
        task->phase = TaskPhase::Done;
        --job.tasksLeft;
        m_forecast.record(job, ref.step, m_placer.localDataRunTime(*task, ended.runTime));
        break;
    case RunResult::Failed:
        ++task->failures;
        [[fallthrough]];
    case RunResult::Stopped:
        retryTask(now, job, ref, Duration(0));
        break;
    case RunResult::Lost:
        if (task->workerCrashed)
            task->crashes = m_crashes.record(now, ended.run);
        retryTask(now, job, ref, delayAfterCrash(now, job, *task));
        break;
    case RunResult::NotStarted:
        retryTask(now, job, ref, ReturnedOrderRetryDelay);
        ++task->returnedOrders;
        break;
    }
    if (!job.released)
        continueJob(now, job, *task, out);
    removeIfDrained(now, ref.job, out);
}

void RunDispatcher::continueJob(TimePoint now, KeyedJob &job, const KeyedTask &ended,
                                DispatchOutbox &out)
{
    if (ended.failures >= job.rule.maxAttempts)
        return finish(now, job, endedWith(Outcome::Failed, Reason::TaskFailed), out);
    if (m_crashes.givenUp(job.spec.key)) {
        ++m_statistics.jobsCrashing;
        return finish(now, job, endedWith(Outcome::Failed, Reason::FailsEverywhere), out);
    }
    if (job.tasksLeft == 0)
        return finish(now, job, endedWith(Outcome::Completed, Reason::None), out);
    makeReadySteps(now, job);
}

Duration RunDispatcher::delayAfterCrash(TimePoint now, const KeyedJob &job,
                                        const KeyedTask &task) const
{
    const bool wait =
        task.crashes > 0 && m_isolation.mustWait(now, job.rule.service, job.rule.name);
    return wait ? CrashedTaskDelay : Duration(0);
}

void RunDispatcher::retryTask(TimePoint now, KeyedJob &job, const TaskRef &ref, Duration delay)
{
    KeyedTask &task = job.tasks[ref.step][ref.index];
    if (job.released) {
        task.phase = TaskPhase::Blocked;
        return;
    }
    if (delay > Duration(0)) {
        task.phase = TaskPhase::Delayed;
        m_timers.schedule(now + delay, Timer{TimerKind::TaskReady, ref, {}});
        return;
    }
    task.phase = TaskPhase::Ready;
    m_waiting.add(now, job, ref);
}

void RunDispatcher::finish(TimePoint now, KeyedJob &job, const Answer &answer, DispatchOutbox &out)
{
    logJobEnded(job, answer, now, m_waiting.size(), m_workers.records().size());
    m_statistics.count(answer.outcome);
    for (const CallId call : m_jobs.takeCalls(job))
        out.answers.push_back({call, answer});
    release(job, out);
}

void RunDispatcher::release(KeyedJob &job, DispatchOutbox &out)
{
    job.released = true;
    m_waiting.removeAll(job);
    for (auto &[agent, message] : runsToStop(job))
        out.messages.emplace_back(agent, std::move(message));
}

void RunDispatcher::repeatStops(Incarnation agent, DispatchOutbox &out)
{
    StopRuns stops;
    for (const RunKey &run : m_runsAtAgents.at(agent)) {
        const KeyedJob *job = m_jobs.find(run.job);
        if (job != nullptr && job->released)
            stops.runs.push_back(run);
    }
    if (!stops.runs.empty())
        out.messages.emplace_back(agent, std::move(stops));
}

void RunDispatcher::removeIfDrained(TimePoint now, JobKey key, DispatchOutbox &out)
{
    std::optional<JobTable::Drained> drained = m_jobs.removeIfDrained(key);
    if (!drained)
        return;
    for (const auto &[entry, number] : drained->releaseRequests)
        out.messages.emplace_back(entry, JobReleased{number, true});
    if (!drained->successor)
        return;
    m_forecast.apply(*drained->successor);
    addJob(now, std::move(*drained->successor));
}

void RunDispatcher::advance(TimePoint now, DispatchOutbox &out)
{
    while (const std::optional<Timer> timer = m_timers.popDue(now)) {
        if (timer->kind == TimerKind::AgentExpiry) {
            const WorkerRecord *record = m_workers.find(timer->agent);
            // The timer may belong to an earlier absence of the agent.
            if (record != nullptr && !record->linked
                && now >= record->unlinkedSince + m_settings.agentGoneAfter)
                expireAgent(now, timer->agent, AgentGoneReason::Away, out);
            continue;
        }
        KeyedJob *found = m_jobs.find(timer->task.job);
        if (found == nullptr || found->released)
            continue;
        KeyedJob &job = *found;
        if (timer->kind == TimerKind::TaskReady) {
            KeyedTask &task = job.tasks[timer->task.step][timer->task.index];
            if (task.phase == TaskPhase::Delayed) {
                retryTask(now, job, timer->task, delayAfterCrash(now, job, task));
            }
        } else if (timer->kind == TimerKind::Late) {
            if (job.ordersSent == 0)
                markLate(now, job, out);
        } else if (timer->kind == TimerKind::StartTimeout) {
            if (job.ordersSent > 0)
                continue;
            refuse(now, job, Reason::Overload, out);
        } else if (now >= job.deadline) {
            const bool begun = job.ordersSent > 0;
            finish(now, job,
                   begun ? endedWith(Outcome::Unknown, Reason::DeadlineExceeded)
                         : endedWith(Outcome::NotRun, Reason::DeadlineBeforeStart),
                   out);
            removeIfDrained(now, timer->task.job, out);
        }
    }
    dispatch(now, out);
}

void RunDispatcher::expireAgent(TimePoint now, Incarnation agent, AgentGoneReason reason,
                                DispatchOutbox &out)
{
    const std::vector<RunKey> runs = m_runsAtAgents.at(agent);
    if (const WorkerRecord *record = m_workers.find(agent))
        logAgentGivenUp(record->agent, runs.size(), reason);
    m_workers.remove(agent);
    for (const RunKey &run : runs)
        runEnded(now, EndedRun{run, RunResult::Lost, Duration(0)}, agent, out);
}

void RunDispatcher::markLate(TimePoint now, KeyedJob &job, DispatchOutbox &out)
{
    // Checked with the rank of a job that is not late; the new rank below puts the job behind all
    // of these.
    if (refuseIfHopeless(now, job, out))
        return;
    const JobKey key = job.spec.key;
    const std::vector<TaskRef> waiting = m_waiting.removeAll(job);
    job.rank = m_settings.order.rank(now, job);
    for (const TaskRef &ref : waiting)
        m_waiting.add(now, job, ref);
    m_timers.schedule(now + LateCheckInterval, Timer{TimerKind::Late, {key, 0, 0}, {}});
}

bool RunDispatcher::refuseIfHopeless(TimePoint now, KeyedJob &job, DispatchOutbox &out)
{
    if (m_refusal.evacuated(job, load()))
        return refuse(now, job, Reason::NoWorker, out);
    if (m_refusal.isolated(job, load())) {
        ++m_statistics.jobsIsolated;
        return refuse(now, job, Reason::NoWorker, out);
    }
    return m_refusal.tooLate(now, job, load()) && refuse(now, job, Reason::Overload, out);
}

bool RunDispatcher::refuse(TimePoint now, KeyedJob &job, Reason reason, DispatchOutbox &out)
{
    const JobKey key = job.spec.key;
    finish(now, job, refusal(now, job, reason), out);
    removeIfDrained(now, key, out);
    return true;
}

std::set<std::string> RunDispatcher::missingLabels() const
{
    std::set<std::string> missing;
    for (const auto &[rank, ref] : m_waiting.queue()) {
        const KeyedJob &job = m_jobs.at(ref.job);
        m_workers.addMissingLabels(job.rule.service, job.spec.steps[ref.step], missing);
    }
    return missing;
}

} // namespace Bluebellquay
