// Order in which the waiting tasks of keyed jobs are placed on workers. During bursts not every job
// can be done in time: urgent queues go first, and jobs that can still be done in time go before
// jobs that are already late, so that a long queue does not make every job late.
#pragma once

#include "core/keyedjob.h"

#include <concepts>

namespace Bluebellquay {

template <typename Policy>
concept JobOrderPolicy = requires(const Policy policy, TimePoint now, const KeyedJob &job)
{
    // Tasks with a smaller rank go first.
    {
        // Tasks with a smaller rank are placed first.
        policy.rank(now, job)
        } -> std::same_as<JobRank>;
};

// Orders jobs by the priority of their queue, then by the earliest latestStart. A late job that has
// not started goes behind all jobs that are not late. A started job keeps its rank, because work
// has already been spent on it.
struct LeastTimeLeftFirst
{
    JobRank rank(TimePoint now, const KeyedJob &job) const
    {
        const bool late = job.ordersSent == 0 && now >= job.latestStart;
        return {late, job.rule.priority, job.latestStart};
    }
};
static_assert(JobOrderPolicy<LeastTimeLeftFirst>);

} // namespace Bluebellquay
