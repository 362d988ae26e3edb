#include "core/rundispatcher.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// 2 ms. A longer delay would let less urgent tasks be placed first.
constexpr Duration ReturnedOrderRetryDelay{2'000};
// 100 ms. Interval between checks whether a task under which a worker has crashed must still wait:
// the few workers of a confined queue are kept for other tasks.
constexpr Duration CrashedTaskDelay{100'000};

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
    , m_supervisor(m_settings.waitingShare, m_settings.order)
    , m_refusal(m_settings.overload)
    , m_placer({m_settings.dataCentre, m_settings.remoteDataFactor, m_settings.reservedDeviations,
                m_settings.choice, m_settings.seed})
{ }

void RunDispatcher::submit(TimePoint now, CallId call, KeyedJobSpec spec, const QueueRule &rule,
                           std::optional<Duration> timeout, RunNumber firstRun, DispatchOutbox &out)
{
    ++m_supervisor.statistics().jobsSubmitted;
    const TimePoint deadline = now + timeout.value_or(m_settings.defaultTimeout);
    if (KeyedJob *known = jobsHeld().find(spec.key)) {
        if (known->released)
            return jobsHeld().follow(*known, {std::move(spec), rule, {}, now, deadline}, call);
        return m_supervisor.join(*known, call, deadline);
    }
    KeyedJob job;
    job.spec = std::move(spec);
    job.rule = rule;
    job.calls.push_back(call);
    job.arrived = now;
    job.deadline = deadline;
    job.lastRun = firstRun;
    m_supervisor.forecast().apply(job);
    if (jobsHeld().size() >= m_settings.maxJobs
        || jobsHeld().bytes() + JobTable::bytesOf(job.spec) > m_settings.maxJobBytes) {
        ++m_supervisor.statistics().jobsRefused;
        out.answers.push_back({call, refusal(now, job, Reason::Overload)});
        return;
    }
    if (m_stopTime && now + job.estimate.criticalPath > *m_stopTime) {
        ++m_supervisor.statistics().jobsRefused;
        out.answers.push_back({call, refusal(now, job, Reason::Stopping)});
        return;
    }
    const JobKey key = job.spec.key;
    if (m_crashes.givenUp(key)) {
        ++m_supervisor.statistics().jobsCrashing;
        out.answers.push_back({call, endedWith(Outcome::Failed, Reason::FailsEverywhere)});
        return;
    }
    m_supervisor.add(now, std::move(job));
    dispatch(now, out);
    KeyedJob &opened = jobsHeld().at(key);
    if (opened.ordersSent == 0)
        refuseIfHopeless(now, opened, out);
}

void RunDispatcher::dispatch(TimePoint now, DispatchOutbox &out)
{
    m_isolation.advance(now);
    auto messages = m_placer.place(now,
                                   {jobsHeld(), m_supervisor.waiting(), m_workers, m_runsAtAgents,
                                    m_supervisor.demand(), m_isolation});
    m_supervisor.waiting().noteIfEmpty(now);
    for (auto &[agent, message] : messages) {
        m_supervisor.statistics().orders += message.orders.size();
        out.messages.emplace_back(agent, std::move(message));
    }
}

void RunDispatcher::callerLeft(TimePoint now, CallId call, DispatchOutbox &out)
{
    KeyedJob *abandoned = jobsHeld().leave(call);
    if (abandoned == nullptr)
        return;
    ++m_supervisor.statistics().jobsAbandoned;
    const JobKey key = abandoned->spec.key;
    m_supervisor.release(*abandoned, out);
    m_supervisor.removeIfDrained(now, key, out);
    dispatch(now, out);
}

bool RunDispatcher::cancel(TimePoint now, JobKey key, DispatchOutbox &out)
{
    KeyedJob *job = jobsHeld().find(key);
    if (job == nullptr)
        return false;
    if (!job->released) {
        const bool begun = job->ordersSent > 0;
        finish(now, *job,
               begun ? endedWith(Outcome::Failed, Reason::Cancelled)
                     : endedWith(Outcome::NotRun, Reason::CancelledBeforeStart),
               out);
        m_supervisor.removeIfDrained(now, key, out);
    }
    return true;
}

void RunDispatcher::handle(TimePoint now, Incarnation entry, const ReleaseJob &message,
                           DispatchOutbox &out)
{
    KeyedJob *job = jobsHeld().find(message.job);
    if (job == nullptr) {
        out.messages.emplace_back(entry, JobReleased{message.number, false});
        return;
    }
    job->releaseRequests.emplace_back(entry, message.number);
    cancel(now, message.job, out);
    m_supervisor.removeIfDrained(now, message.job, out);
}

void RunDispatcher::abandonAll(TimePoint now, DispatchOutbox &out)
{
    for (const JobKey key : jobsHeld().unreleased()) {
        KeyedJob &job = jobsHeld().at(key);
        finish(now, job, endedWith(Outcome::Unknown, Reason::HomeSilent), out);
        m_supervisor.removeIfDrained(now, key, out);
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
    for (const JobKey key : jobsHeld().unstarted())
        refuseIfHopeless(now, jobsHeld().at(key), out);
}

void RunDispatcher::agentUp(TimePoint now, const ProcessInfo &agent, DispatchOutbox &out)
{
    m_workers.linkUp(agent);
    const std::vector<RunKey> runs = m_runsAtAgents.at(agent.incarnation);
    // Before the question, which makes the agent let the other runs go on.
    if (StopRuns stops = m_supervisor.released(runs); !stops.runs.empty())
        out.messages.emplace_back(agent.incarnation, std::move(stops));
    out.messages.emplace_back(agent.incarnation, RunsAtAgent{runs});
    dispatch(now, out);
}

void RunDispatcher::agentDown(TimePoint now, Incarnation agent)
{
    m_workers.linkDown(now, agent);
    m_agentTimers.schedule(now + m_settings.agentGoneAfter, agent);
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
    ++m_supervisor.statistics().workerCrashes;
    markRuns(record.agent.incarnation, true);
    const std::string &service = record.room->service;
    m_isolation.workerCrashed(now, service, record.agent.name,
                              m_supervisor.loads().loaded(now, service),
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
        if (KeyedTask *task = jobsHeld().findTask(run, agent))
            task->workerCrashed = workerCrashed;
    }
}

void RunDispatcher::runEnded(TimePoint now, const EndedRun &ended, Incarnation agent,
                             DispatchOutbox &out)
{
    if (!m_runsAtAgents.remove(agent, ended.run))
        return;
    KeyedTask *task = jobsHeld().findTask(ended.run, agent);
    if (task == nullptr)
        return;
    KeyedJob &job = jobsHeld().at(ended.run.job);
    const TaskRef ref{ended.run.job, ended.run.step, ended.run.index};
    --job.openRuns;
    if (ended.end != RunResult::Done && !job.released)
        logRunEnded(job, ended, m_workers.nameOf(agent));
    m_supervisor.statistics().count(ended.end);
    if (ended.end != RunResult::Done)
        task->avoidedAgent = agent;
    switch (ended.end) {
    case RunResult::Done:
        task->phase = TaskPhase::Done;
        --job.tasksLeft;
        m_supervisor.forecast().record(job, ref.step,
                                       m_placer.localDataRunTime(*task, ended.runTime));
        break;
    case RunResult::Failed:
        ++task->failures;
        [[fallthrough]];
    case RunResult::Stopped:
        m_supervisor.retryTask(now, job, ref, Duration(0));
        break;
    case RunResult::Lost:
        if (task->workerCrashed)
            task->crashes = m_crashes.record(now, ended.run);
        m_supervisor.retryTask(now, job, ref, delayAfterCrash(now, job, *task));
        break;
    case RunResult::NotStarted:
        m_supervisor.retryTask(now, job, ref, ReturnedOrderRetryDelay);
        ++task->returnedOrders;
        break;
    }
    if (!job.released)
        continueJob(now, job, *task, out);
    m_supervisor.removeIfDrained(now, ref.job, out);
}

void RunDispatcher::continueJob(TimePoint now, KeyedJob &job, const KeyedTask &ended,
                                DispatchOutbox &out)
{
    if (ended.failures >= job.rule.maxAttempts)
        return finish(now, job, endedWith(Outcome::Failed, Reason::TaskFailed), out);
    if (m_crashes.givenUp(job.spec.key)) {
        ++m_supervisor.statistics().jobsCrashing;
        return finish(now, job, endedWith(Outcome::Failed, Reason::FailsEverywhere), out);
    }
    if (job.tasksLeft == 0)
        return finish(now, job, endedWith(Outcome::Completed, Reason::None), out);
    m_supervisor.makeReadySteps(now, job);
}

Duration RunDispatcher::delayAfterCrash(TimePoint now, const KeyedJob &job,
                                        const KeyedTask &task) const
{
    const bool wait =
        task.crashes > 0 && m_isolation.mustWait(now, job.rule.service, job.rule.name);
    return wait ? CrashedTaskDelay : Duration(0);
}

void RunDispatcher::advance(TimePoint now, DispatchOutbox &out)
{
    while (const std::optional<Incarnation> agent = m_agentTimers.popDue(now)) {
        const WorkerRecord *record = m_workers.find(*agent);
        // The timer may belong to an earlier absence of the agent.
        if (record != nullptr && !record->linked
            && now >= record->unlinkedSince + m_settings.agentGoneAfter)
            expireAgent(now, *agent, AgentGoneReason::Away, out);
    }
    while (const std::optional<JobTimer> timer = m_supervisor.timers().popDue(now)) {
        KeyedJob *job = jobsHeld().find(timer->task.job);
        if (job != nullptr && !job->released)
            timerDue(now, *job, *timer, out);
    }
    dispatch(now, out);
}

void RunDispatcher::timerDue(TimePoint now, KeyedJob &job, const JobTimer &timer,
                             DispatchOutbox &out)
{
    switch (timer.kind) {
    case JobTimerKind::TaskReady: {
        const KeyedTask &task = job.tasks[timer.task.step][timer.task.index];
        if (task.phase == TaskPhase::Delayed)
            m_supervisor.retryTask(now, job, timer.task, delayAfterCrash(now, job, task));
        return;
    }
    case JobTimerKind::Late:
        // Checked with the rank of a job that is not late: the new one puts it behind all of these.
        if (job.ordersSent == 0 && !refuseIfHopeless(now, job, out))
            m_supervisor.demote(now, job);
        return;
    case JobTimerKind::StartTimeout:
        if (job.ordersSent == 0)
            refuse(now, job, Reason::Overload, out);
        return;
    case JobTimerKind::Deadline:
        if (now >= job.deadline)
            deadlinePassed(now, job, out);
        return;
    }
}

void RunDispatcher::deadlinePassed(TimePoint now, KeyedJob &job, DispatchOutbox &out)
{
    const JobKey key = job.spec.key;
    finish(now, job,
           job.ordersSent > 0 ? endedWith(Outcome::Unknown, Reason::DeadlineExceeded)
                              : endedWith(Outcome::NotRun, Reason::DeadlineBeforeStart),
           out);
    m_supervisor.removeIfDrained(now, key, out);
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

bool RunDispatcher::refuseIfHopeless(TimePoint now, KeyedJob &job, DispatchOutbox &out)
{
    if (m_refusal.evacuated(job, load()))
        return refuse(now, job, Reason::NoWorker, out);
    if (m_refusal.isolated(job, load())) {
        ++m_supervisor.statistics().jobsIsolated;
        return refuse(now, job, Reason::NoWorker, out);
    }
    return m_refusal.tooLate(now, job, load()) && refuse(now, job, Reason::Overload, out);
}

bool RunDispatcher::refuse(TimePoint now, KeyedJob &job, Reason reason, DispatchOutbox &out)
{
    const JobKey key = job.spec.key;
    finish(now, job, refusal(now, job, reason), out);
    m_supervisor.removeIfDrained(now, key, out);
    return true;
}

std::set<std::string> RunDispatcher::missingLabels() const
{
    std::set<std::string> missing;
    for (const auto &[rank, ref] : m_supervisor.waiting().queue()) {
        const KeyedJob &job = jobsHeld().at(ref.job);
        m_workers.addMissingLabels(job.rule.service, job.spec.steps[ref.step], missing);
    }
    return missing;
}

} // namespace Bluebellquay
