// Simulates ideal and simple queueing policies on a trace, without a dispatcher. They are the
// omniscient reference and the baselines of the policy benchmark. Tasks are never refused or
// interrupted.
#pragma once

#include "arrivaltrace.h"
#include "servedarrival.h"

#include <cstdint>
#include <vector>

namespace Bluebellquay {

enum class QueueOrder : std::uint8_t {
    // One queue for all slots, true sizes, no network: requests first, the shortest of them first;
    // then the job with the least remaining work, its longest task first.
    Omniscient,
    // Like Omniscient, but the tasks of a job start in the order of their declared sizes, longest
    // first. Shows what ordering can achieve without knowledge of the true sizes.
    DeclaredTasks,
    // Like Omniscient, but the tasks of a job start in the order that the caller listed them.
    CallerTasks,
    // One queue for all slots, in the order of arrival.
    FirstComeFirstServed,
    // Each task goes to a worker drawn at random, which serves in the order of arrival.
    RandomWorker,
};

// Returns the results in the order of the arrivals. Answer times include the shortest round trips,
// except for Omniscient, DeclaredTasks and CallerTasks.
std::vector<ServedArrival> serveFromQueue(const ArrivalTrace &trace, QueueOrder order,
                                          std::uint64_t seed);

} // namespace Bluebellquay
