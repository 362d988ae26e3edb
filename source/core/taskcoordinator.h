// Coordinates the tasks of submissions at their home: answers pulls, takes results, schedules
// retries, enforces deadlines, and gives up tasks whose agent stays unreachable.
#pragma once

#include "core/ackbatch.h"
#include "core/admissioncontrol.h"
#include "core/answerregistry.h"
#include "core/offersender.h"
#include "core/retrybudget.h"
#include "core/runtimeestimates.h"
#include "core/timerheap.h"

#include <map>
#include <string>

namespace Bluebellquay {

class TaskCoordinator
{
public:
    TaskCoordinator(HomeState &state, AnswerRegistry &answers, OfferSender &offers,
                    RunTimeEstimates &estimates, AdmissionControl &admission);

    // A new submission was recorded.
    void accept(TimePoint now, const SubmissionId &id);
    void cancel(const SubmissionId &id, Outbox &out);

    void pull(TimePoint now, Incarnation from, const Pull &message, Outbox &out);
    void result(TimePoint now, Incarnation from, TaskResult message, Outbox &out);
    void taskState(TimePoint now, Incarnation from, const TaskState &message, Outbox &out);

    // An agent has connected or reconnected: queries the state of the tasks bound to it.
    void agentUp(Incarnation agent, Outbox &out);
    void agentDown(Incarnation agent);
    // An agent has been out of reach for too long: its bindings are given up.
    void agentLost(TimePoint now, Incarnation agent, Outbox &out);

    void advance(TimePoint now, Outbox &out);
    // Sends acknowledgements that are due or can join other messages; called last.
    void flush(TimePoint now, Outbox &out) { m_acks.flush(now, out); }
    std::optional<TimePoint> nextWakeup() const;

    bool acksPending() const { return !m_acks.empty(); }
    std::size_t timers() const { return m_timers.size(); }

private:
    enum class TimerKind : std::uint8_t { Deadline, Retry, Offer };
    struct Timer
    {
        SubmissionId id;
        TimerKind kind;
    };

    // Ends a submission: stores its answer and withdraws its reservations at agents. Unless
    // it was completed, its running tasks are stopped, too, if its rule sets stopOnCancel.
    void finish(const SubmissionId &id, Answer answer, Outbox &out);
    // The agent can't hold a task of this submission. If no agent can, it is not run.
    void declined(const SubmissionId &id, ActiveSubmission &active, Incarnation agent, Outbox &out);
    // Ends a submission of which nothing was started if it can't be done in time any more.
    bool refusedAsLate(TimePoint now, const SubmissionId &id, const ActiveSubmission &active,
                       Outbox &out);
    void bindTo(TimePoint now, ActiveSubmission &active, Incarnation agent, const Pull &message,
                Outbox &out);
    void noteFirstBound(ActiveSubmission &active);
    void taskFailed(TimePoint now, const TaskKey &key, Incarnation agent, std::string error,
                    Outbox &out);
    void taskLost(TimePoint now, const TaskKey &key, Outbox &out);
    void taskNotStarted(const TaskKey &key, Outbox &out);
    // Returns true if a further attempt is scheduled.
    bool retry(TimePoint now, const SubmissionId &id, ActiveSubmission &active, RetryReason reason);
    // Answers a cancelled submission when nothing of it is bound any more.
    void settleCancelled(const SubmissionId &id, Outbox &out);
    void deadlineReached(const SubmissionId &id, Outbox &out);
    void offerDue(TimePoint now, const SubmissionId &id);
    void acknowledge(TimePoint now, Incarnation agent, const TaskKey &key, Outbox &out);

    HomeState &m_state;
    AnswerRegistry &m_answers;
    OfferSender &m_offers;
    RunTimeEstimates &m_estimates;
    AdmissionControl &m_admission;
    AckBatch m_acks;
    ExponentialRetry m_retryPolicy;
    std::map<std::string, RetryBudget, std::less<>> m_retryBudgets;
    TimerHeap<Timer> m_timers;
};

} // namespace Bluebellquay
