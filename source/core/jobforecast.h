// Predicts the run times of keyed jobs: the estimates of the callers, corrected by the measured
// ratio of actual to declared run time of earlier tasks in the same queue.
#pragma once

#include "core/keyedjob.h"
#include "core/runtimeestimates.h"

namespace Bluebellquay {

class JobForecast
{
public:
    // Sets job.estimate. Called when the job arrives.
    void apply(KeyedJob &job) const;
    // Records the run time of a completed task of the step, to correct later estimates.
    void record(const KeyedJob &job, std::uint32_t step, Duration runTime);

private:
    // Ratio of actual to declared run time by queue, stored as the run time of a task with a
    // declared run time of one second.
    RunTimeEstimates m_ratios;
};

} // namespace Bluebellquay
