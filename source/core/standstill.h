// Detects a standstill of a worker from overdue runs: the worker goes on announcing itself and
// accepting orders, but no run on it ends.
#pragma once

#include "base/coretime.h"
#include "base/submissionid.h"
#include "core/workerhealth.h"

#include <vector>

namespace Bluebellquay {

// A run that its worker has confirmed.
struct OngoingRun
{
    JobKey job;
    TimePoint started;
    Duration expected{0};
};

// Whether several runs are overdue and no run has ended since they became overdue. Runs are judged
// at the time of the last listing: ends after it may be unknown, because answers can be lost.
bool standsStill(const std::vector<OngoingRun> &runs, const WorkerHealth &watch,
                 TimePoint lastListing);

} // namespace Bluebellquay
