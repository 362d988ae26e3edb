// Serves a trace without a dispatcher: the omniscient reference and the baselines. Tasks are never
// refused or interrupted.
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
    // The same, but the tasks of a job in the order of their declared sizes, longest first: what
    // order alone can reach without the true sizes.
    DeclaredTasks,
    // The same, but the tasks of a job in the order of its caller.
    CallerTasks,
    // One queue for all slots, in the order of arrival.
    FirstComeFirstServed,
    // Each task goes to a worker drawn at random, which serves in the order of arrival.
    RandomWorker,
};

// The order of the results is that of the arrivals. Answers include the shortest round trips,
// except those of the first three orders.
std::vector<ServedArrival> serveFromQueue(const ArrivalTrace &trace, QueueOrder order,
                                          std::uint64_t seed);

} // namespace Bluebellquay
