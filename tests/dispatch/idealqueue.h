// Reference scheduler for load tests: one queue that knows every run time and the free resources of
// all workers at every moment, and sends its orders without delay. The bounds of load tests are
// shares of the work that it gets done in time on the same arrivals. It does not interrupt running
// tasks and reserves nothing for later ones.
#pragma once

#include "base/coretime.h"

#include <cstdint>
#include <vector>

namespace Bluebellquay::Testing {

struct IdealJob
{
    TimePoint arrived;
    std::uint32_t priority = 0;
    std::uint32_t tasks = 1;
    // Need of one task, in thousandths of a processor.
    std::uint32_t milliProcessors = 0;
    // Run time of one task on a worker of ordinary speed.
    Duration runTime{0};
    // Time from the arrival by which the job should be done.
    Duration objective{0};

    // Processors times run time, in thousandths of a processor times microseconds.
    double work() const
    {
        return static_cast<double>(tasks) * milliProcessors * static_cast<double>(runTime.count());
    }
};

struct IdealWorker
{
    std::uint32_t milliProcessors = 0;
    // Run times are divided by this factor.
    double speed = 1;
};

// Returns for each job whether it is done in time. The jobs must be in order of arrival. A job that
// has not started and can no longer be done in time is dropped.
std::vector<bool> idealInTime(const std::vector<IdealJob> &jobs, std::vector<IdealWorker> workers);

} // namespace Bluebellquay::Testing
