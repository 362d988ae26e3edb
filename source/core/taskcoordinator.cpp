#include "core/taskcoordinator.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

using State = SubmissionLifecycle::State;

// An offer is repeated when nobody has pulled for this long; a safeguard against lost offers.
constexpr Duration OfferInterval{5'000'000};
// Delay suggested to callers before they submit under a new id after a worker was lost.
constexpr Duration LostRetryAfter{1'000'000};

bool contains(const std::vector<Incarnation> &list, Incarnation value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

Answer failedAnswer(Reason reason, std::string detail, std::optional<Duration> retryAfter)
{
    return Answer{Outcome::Failed, reason, std::move(detail), retryAfter, {}};
}

} // namespace

TaskCoordinator::TaskCoordinator(HomeState &state, AnswerRegistry &answers, OfferSender &offers,
                                 RunTimeEstimates &estimates, AdmissionControl &admission)
    : m_state(state)
    , m_answers(answers)
    , m_offers(offers)
    , m_estimates(estimates)
    , m_admission(admission)
{ }

void TaskCoordinator::accept(TimePoint now, const SubmissionId &id)
{
    ActiveSubmission &active = *m_state.records.findActive(id);
    active.lastOffer = now;
    active.expectedRunTime =
        m_estimates.expected(active.job.branch, active.job.kind, active.rule.expectedRunTime);
    m_admission.noteWaiting(active);
    m_admission.noteQueuedWork(active, active.expectedRunTime * active.tasks.tasks());
    m_timers.schedule(active.deadlineAt, Timer{id, TimerKind::Deadline});
    m_timers.schedule(now + OfferInterval, Timer{id, TimerKind::Offer});
    m_offers.request(id);
    if (const BranchRule *branch = m_state.rules->findBranch(active.job.branch))
        m_retryBudgets[active.job.branch].addFirstAttempt(branch->retryBudget);
}

void TaskCoordinator::pull(TimePoint now, Incarnation from, const Pull &message, Outbox &out)
{
    // The timer that gives up the bindings of a disconnected agent may have fired already, so a
    // binding made now might never be given up.
    if (!m_state.peers.isUp(from))
        return;
    ActiveSubmission *active = m_state.records.findActive(message.submission);
    if (active == nullptr || active->lifecycle.state() == State::Cancelling) {
        m_state.statistics.add(CoreCounter::EmptyBinds);
        out.send(from, Bind{message.pull, message.submission, {}, 0});
        return;
    }
    active->lastOffer = now;
    if (message.maxTasks == 0) {
        declined(message.submission, *active, from, out);
        return;
    }
    if (refusedAsLate(now, message.submission, *active, out)) {
        out.send(from, Bind{message.pull, message.submission, {}, 0});
        return;
    }
    bindTo(now, *active, from, message, out);
}

bool TaskCoordinator::refusedAsLate(TimePoint now, const SubmissionId &id,
                                    const ActiveSubmission &active, Outbox &out)
{
    // A task that can't end before the deadline would take a slot for nothing.
    if (active.tasks.mayHaveStarted() || now + active.expectedRunTime <= active.deadlineAt)
        return false;
    finish(id, notRunAnswer(Reason::DeadlineBeforeStart, active.expectedRunTime), out);
    return true;
}

void TaskCoordinator::declined(const SubmissionId &id, ActiveSubmission &active, Incarnation agent,
                               Outbox &out)
{
    std::erase(active.reservedAt, agent);
    if (!contains(active.declinedBy, agent))
        active.declinedBy.push_back(agent);
    if (active.tasks.mayHaveStarted())
        return;
    std::vector<Incarnation> agents = m_state.peers.servingAgents();
    if (m_state.executorServes)
        agents.push_back(m_state.self());
    const bool everywhere = std::all_of(agents.begin(), agents.end(), [&](Incarnation candidate) {
        return contains(active.declinedBy, candidate);
    });
    if (everywhere)
        finish(id, notRunAnswer(Reason::CannotFit, std::nullopt), out);
}

void TaskCoordinator::bindTo(TimePoint now, ActiveSubmission &active, Incarnation agent,
                             const Pull &message, Outbox &out)
{
    const bool repeated = active.tasks.findAnswer(agent, message.pull) != nullptr;
    const TaskBindings::PullAnswer &answer =
        active.tasks.bind(agent, message.pull, message.maxTasks);
    const SubmissionId &id = message.submission;
    Bind bind{message.pull, id, {}, answer.remaining};
    bind.tasks.reserve(answer.tasks.size());
    for (const TaskBindings::Assignment &task : answer.tasks)
        bind.tasks.push_back(
            BoundTask{task.index, task.attempt, active.job.tasks[task.index.value()].payload});
    if (repeated)
        m_state.statistics.add(CoreCounter::ReplayedPulls);
    else if (bind.tasks.empty())
        m_state.statistics.add(CoreCounter::EmptyBinds);
    else
        m_state.statistics.add(CoreCounter::TasksBound, bind.tasks.size());
    const bool bound = !bind.tasks.empty();
    // With nothing left, the agent drops its reservation by itself.
    if (bind.remaining == 0)
        std::erase(active.reservedAt, agent);
    out.send(agent, std::move(bind));
    if (!bound || repeated)
        return;
    m_admission.noteBoundWork(now, active, active.expectedRunTime * answer.tasks.size());
    active.lifecycle.process(LifecycleEvent::TaskBound{});
    noteFirstBound(active);
    if (active.tasks.unbound() == 0)
        m_offers.withdraw(id, active, false, out);
}

void TaskCoordinator::noteFirstBound(ActiveSubmission &active)
{
    if (active.firstBound)
        return;
    active.firstBound = true;
    m_admission.noteFirstBound(active);
}

void TaskCoordinator::finish(const SubmissionId &id, Answer answer, Outbox &out)
{
    const bool completed = answer.outcome == Outcome::Completed;
    const std::unique_ptr<ActiveSubmission> finished = m_answers.finish(id, std::move(answer), out);
    if (!finished)
        return;
    noteFirstBound(*finished);
    m_admission.noteDroppedWork(*finished, finished->expectedRunTime * finished->tasks.unbound());
    if (m_state.records.active().empty())
        m_admission.noteIdle();
    m_offers.withdraw(id, *finished, !completed && finished->rule.stopOnCancel, out);
}

void TaskCoordinator::cancel(const SubmissionId &id, Outbox &out)
{
    ActiveSubmission *active = m_state.records.findActive(id);
    if (active == nullptr || active->lifecycle.state() == State::Cancelling)
        return;
    if (!active->tasks.mayHaveStarted()) {
        finish(id, notRunAnswer(Reason::CancelledBeforeStart, std::nullopt), out);
        return;
    }
    const bool allBound =
        active->tasks.bound() + active->tasks.succeeded() == active->tasks.tasks();
    if (!allBound) {
        finish(id, failedAnswer(Reason::Cancelled, {}, std::nullopt), out);
        return;
    }
    // No task is left unbound, so the results of the bound tasks decide the answer.
    active->lifecycle.process(LifecycleEvent::CancelRequested{});
    m_offers.withdraw(id, *active, active->rule.stopOnCancel, out);
}

void TaskCoordinator::settleCancelled(const SubmissionId &id, Outbox &out)
{
    ActiveSubmission *active = m_state.records.findActive(id);
    if (active == nullptr || active->lifecycle.state() != State::Cancelling
        || active->tasks.bound() > 0)
        return;
    if (active->tasks.mayHaveStarted())
        finish(id, failedAnswer(Reason::Cancelled, {}, std::nullopt), out);
    else
        finish(id, notRunAnswer(Reason::CancelledBeforeStart, std::nullopt), out);
}

void TaskCoordinator::result(TimePoint now, Incarnation from, TaskResult message, Outbox &out)
{
    const TaskKey key = message.task;
    acknowledge(now, from, key, out);
    ActiveSubmission *active = m_state.records.findActive(key.submission);
    if (active == nullptr)
        return;
    if (!message.outcome.succeeded) {
        if (active->tasks.isBound(key, from))
            taskFailed(now, key, from, std::move(message.outcome.error), out);
        return;
    }
    // A success also counts if its attempt was given up as lost before.
    if (!active->tasks.awaitsResult(key))
        return;
    m_state.statistics.add(CoreCounter::TasksSucceeded);
    m_estimates.record(active->job.branch, active->job.kind, message.outcome.runTime);
    active->tasks.succeed(key.index, std::move(message.outcome.output));
    active->job.tasks[key.index.value()].payload = std::string();
    if (active->tasks.complete())
        finish(
            key.submission,
            Answer{Outcome::Completed, Reason::None, {}, std::nullopt, active->tasks.takeOutputs()},
            out);
    else
        settleCancelled(key.submission, out);
}

void TaskCoordinator::taskFailed(TimePoint now, const TaskKey &key, Incarnation agent,
                                 std::string error, Outbox &out)
{
    ActiveSubmission &active = *m_state.records.findActive(key.submission);
    m_state.statistics.add(CoreCounter::TasksFailed);
    active.tasks.giveUpAttempt(key.index);
    if (!contains(active.failedOn, agent))
        active.failedOn.push_back(agent);
    if (active.lifecycle.state() == State::Cancelling) {
        settleCancelled(key.submission, out);
        return;
    }
    if (retry(now, key.submission, active, RetryReason::TaskFailed))
        return;
    const Reason reason = active.failedOn.size() > 1 ? Reason::FailsEverywhere : Reason::TaskFailed;
    finish(key.submission, failedAnswer(reason, std::move(error), std::nullopt), out);
}

void TaskCoordinator::taskLost(TimePoint now, const TaskKey &key, Outbox &out)
{
    ActiveSubmission &active = *m_state.records.findActive(key.submission);
    m_state.statistics.add(CoreCounter::TasksLost);
    active.tasks.giveUpAttempt(key.index);
    if (active.lifecycle.state() != State::Cancelling
        && retry(now, key.submission, active, RetryReason::TaskLost))
        return;
    if (!active.isSingle()) {
        finish(key.submission, failedAnswer(Reason::TaskLost, {}, LostRetryAfter), out);
        return;
    }
    finish(key.submission, Answer{Outcome::Unknown, Reason::OutcomeLost, {}, std::nullopt, {}},
           out);
}

void TaskCoordinator::taskNotStarted(const TaskKey &key, Outbox &out)
{
    ActiveSubmission &active = *m_state.records.findActive(key.submission);
    active.tasks.release(key.index);
    m_admission.noteQueuedWork(active, active.expectedRunTime);
    m_state.statistics.addRetry(RetryReason::NotStarted);
    if (active.lifecycle.state() == State::Cancelling) {
        settleCancelled(key.submission, out);
        return;
    }
    if (!active.tasks.mayHaveStarted())
        active.lifecycle.process(LifecycleEvent::AllReleased{});
    m_offers.request(key.submission);
}

bool TaskCoordinator::retry(TimePoint now, const SubmissionId &id, ActiveSubmission &active,
                            RetryReason reason)
{
    const std::uint32_t spent = active.tasks.spentAttempts(TaskIndex(0));
    if (!active.isSingle() || spent >= active.allowedAttempts())
        return false;
    if (!m_retryBudgets[active.job.branch].takeRetry()) {
        m_state.statistics.add(CoreCounter::RetriesDenied);
        return false;
    }
    m_state.statistics.addRetry(reason);
    m_timers.schedule(now + m_retryPolicy.delay(spent + 1, m_state.random),
                      Timer{id, TimerKind::Retry});
    return true;
}

void TaskCoordinator::taskState(TimePoint now, Incarnation from, const TaskState &message,
                                Outbox &out)
{
    for (const TaskStateEntry &entry : message.tasks) {
        const bool forgettable =
            entry.status == TaskStatus::NotStarted || entry.status == TaskStatus::Lost;
        if (forgettable)
            acknowledge(now, from, entry.task, out);
        const ActiveSubmission *active = m_state.records.findActive(entry.task.submission);
        if (active == nullptr || !active->tasks.isBound(entry.task, from))
            continue;
        if (entry.status == TaskStatus::NotStarted)
            taskNotStarted(entry.task, out);
        else if (entry.status == TaskStatus::Lost)
            taskLost(now, entry.task, out);
    }
}

void TaskCoordinator::deadlineReached(const SubmissionId &id, Outbox &out)
{
    const ActiveSubmission *active = m_state.records.findActive(id);
    if (active == nullptr)
        return;
    if (!active->tasks.mayHaveStarted()) {
        finish(id, notRunAnswer(Reason::DeadlineBeforeStart, active->rule.expectedRunTime), out);
        return;
    }
    // A single request that still runs may yet take effect.
    const bool mayTakeEffect = active->isSingle() && active->tasks.bound() > 0;
    finish(id,
           Answer{mayTakeEffect ? Outcome::Unknown : Outcome::Failed,
                  Reason::DeadlineExceeded,
                  {},
                  std::nullopt,
                  {}},
           out);
}

void TaskCoordinator::acknowledge(TimePoint now, Incarnation agent, const TaskKey &key, Outbox &out)
{
    if (agent == m_state.self())
        out.send(agent, ResultAck{{key}});
    else
        m_acks.add(now, agent, key);
}

void TaskCoordinator::agentUp(Incarnation agent, Outbox &out)
{
    TaskQuery query;
    for (const auto &[id, active] : m_state.records.active()) {
        const std::vector<TaskKey> keys = active->tasks.boundTo(agent, id);
        query.tasks.insert(query.tasks.end(), keys.begin(), keys.end());
    }
    if (!query.tasks.empty())
        out.send(agent, std::move(query));
    m_offers.forgetAgent(agent);
}

void TaskCoordinator::agentDown(Incarnation agent)
{
    m_offers.forgetAgent(agent);
    m_acks.drop(agent);
}

void TaskCoordinator::agentLost(TimePoint now, Incarnation agent, Outbox &out)
{
    std::vector<TaskKey> lost;
    for (const auto &[id, active] : m_state.records.active()) {
        const std::vector<TaskKey> keys = active->tasks.boundTo(agent, id);
        lost.insert(lost.end(), keys.begin(), keys.end());
    }
    for (const TaskKey &key : lost) {
        // The first lost task of a job ends the submission.
        if (m_state.records.findActive(key.submission) != nullptr)
            taskLost(now, key, out);
    }
}

void TaskCoordinator::offerDue(TimePoint now, const SubmissionId &id)
{
    const ActiveSubmission *active = m_state.records.findActive(id);
    if (active == nullptr)
        return;
    m_timers.schedule(now + OfferInterval, Timer{id, TimerKind::Offer});
    if (active->tasks.unbound() == 0 || now - active->lastOffer < OfferInterval)
        return;
    m_state.statistics.add(CoreCounter::RepeatedReserves);
    m_offers.request(id);
}

void TaskCoordinator::advance(TimePoint now, Outbox &out)
{
    while (const auto timer = m_timers.popDue(now)) {
        switch (timer->kind) {
        case TimerKind::Deadline:
            deadlineReached(timer->id, out);
            break;
        case TimerKind::Offer:
            offerDue(now, timer->id);
            break;
        case TimerKind::Retry:
            if (ActiveSubmission *active = m_state.records.findActive(timer->id)) {
                active->tasks.requeue(TaskIndex(0));
                m_admission.noteQueuedWork(*active, active->expectedRunTime);
                m_offers.request(timer->id);
            }
            break;
        }
    }
}

std::optional<TimePoint> TaskCoordinator::nextWakeup() const
{
    return earliest(m_timers.next(), m_acks.nextWakeup());
}

} // namespace Bluebellquay
