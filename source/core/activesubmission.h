// A submission without a final answer at its home.
#pragma once

#include "base/messages.h"
#include "config/ruleset.h"
#include "core/submissionlifecycle.h"
#include "core/taskbindings.h"

#include <vector>

namespace Bluebellquay {

// A call that waits for the final answer.
struct Waiter
{
    Incarnation entry;
    Correlation correlation;

    friend bool operator==(const Waiter &, const Waiter &) = default;
};

struct ActiveSubmission
{
    ActiveSubmission(Job submitted, const KindRule &kindRule, TimePoint now, Duration deadline)
        : job(std::move(submitted))
        , rule(kindRule)
        , urgency(job.urgentRequested && rule.allowRaise ? Urgency::Urgent : rule.urgency)
        , arrived(now)
        , deadlineAt(now + deadline)
        , tasks(job.tasks)
    { }

    bool isSingle() const { return tasks.tasks() == 1; }
    // Attempts that may be started for one task (invariant N1).
    std::uint32_t allowedAttempts() const
    {
        return isSingle() && rule.idempotent ? rule.maxAttempts : 1;
    }

    // The payload of a task is dropped when it has succeeded.
    Job job;
    // The rule in force when the submission was accepted; later rules don't change it.
    KindRule rule;
    Urgency urgency;
    // Of one task, as expected on arrival.
    Duration expectedRunTime{0};
    TimePoint arrived;
    TimePoint deadlineAt;
    SubmissionLifecycle lifecycle;
    TaskBindings tasks;
    std::vector<Waiter> waiters;
    // Agents that hold a reservation as far as the home knows.
    std::vector<Incarnation> reservedAt;
    // Agents whose upstream can't hold a task, each once.
    std::vector<Incarnation> declinedBy;
    // Agents on which an attempt failed, each once.
    std::vector<Incarnation> failedOn;
    // Time of the last pull or offer.
    TimePoint lastOffer{};
    // False until a first task was bound: the submission counts in the admission queue.
    bool firstBound = false;
};

} // namespace Bluebellquay
