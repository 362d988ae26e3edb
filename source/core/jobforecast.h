// What the tasks of keyed jobs are expected to take: the callers' estimates, corrected by how long
// the tasks of the same queue have taken relative to theirs.
#pragma once

#include "core/keyedjob.h"
#include "core/runtimeestimates.h"

namespace Bluebellquay {

class JobForecast
{
public:
    // Fills in the forecast of a job that has just arrived.
    void apply(KeyedJob &job) const;
    // A task of this step was done after this time.
    void record(const KeyedJob &job, std::uint32_t step, Duration runTime);

private:
    // Ratio of actual to declared run time by queue, as time for a declared second.
    RunTimeEstimates m_ratios;
};

} // namespace Bluebellquay
