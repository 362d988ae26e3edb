// Order in which waiting tasks of keyed jobs get workers. Answers to the load of bursts, in which
// not every job can be done in time: whoever can still be done in time goes before whoever is late
// already, so that a queue does not make everyone late.
#pragma once

#include "core/keyedjob.h"

#include <concepts>

namespace Bluebellquay {

template <typename Policy>
concept JobOrder = requires(const Policy policy, TimePoint now, const KeyedJob &job)
{
    // Tasks with a smaller rank go first.
    {
        policy.rank(now, job)
        } -> std::same_as<TimePoint>;
};

// Least time left first. A job that is late and has not begun goes behind all that are not; one
// that has begun keeps its place, because work has been spent on it.
struct LeastTimeLeft
{
    // Longer than any job may wait.
    Duration lateDemotion{60'000'000};

    TimePoint rank(TimePoint now, const KeyedJob &job) const
    {
        const bool late = job.ordersSent == 0 && now >= job.latestStart;
        return late ? job.latestStart + lateDemotion : job.latestStart;
    }
};
static_assert(JobOrder<LeastTimeLeft>);

} // namespace Bluebellquay
