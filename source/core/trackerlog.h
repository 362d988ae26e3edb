// Log events of the run tracker.
#pragma once

#include "base/messages.h"
#include "base/runmessages.h"
#include "core/endevidence.h"
#include "core/workerhealth.h"

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace Bluebellquay {

// A run that has been started, with the time of its start.
using StartedRun = std::pair<TimePoint, RunKey>;

// The worker is gone or does not answer. Logs the runs that started last: a task that crashes its
// worker is among them.
void logWorkerUnavailable(TimePoint now, std::string_view worker, std::string_view reason,
                          std::vector<StartedRun> runs);

// A home has shown no sign of life for this long; its runs are stopped.
void logHomeOutOfTouch(Incarnation home, Duration since, std::size_t runs);

// An order waits for a contact to its home: the lease that the worker may have would last too long
// for its run.
void logOrderAwaitsContact(const RunKey &run, Incarnation home, Duration sinceContact,
                           Duration leaseLeft);

// A started run has ended by other evidence than a listed end.
void logRunEnd(std::string_view worker, const EndedRun &ended, EndEvidence evidence);

// No orders are taken until a run has tried the worker.
void logWorkerSuspended(TimePoint now, std::string_view worker, std::string_view reason,
                        std::size_t runs, const WorkerHealth &health);

} // namespace Bluebellquay
