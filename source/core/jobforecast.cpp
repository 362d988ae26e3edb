#include "core/jobforecast.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// One second: the declared run time that stored ratios refer to.
constexpr Duration ReferenceRunTime{1'000'000};

} // namespace

void JobForecast::apply(KeyedJob &job) const
{
    const Duration ratio = m_ratios.expected(job.rule.name, {}, ReferenceRunTime);
    const double factor =
        static_cast<double>(ratio.count()) / static_cast<double>(ReferenceRunTime.count());
    JobEstimate estimate;
    std::vector<Duration> ends;
    for (const KeyedStep &step : job.spec.steps) {
        const auto runTime = std::chrono::duration_cast<Duration>(step.declaredRunTime * factor);
        Duration begin{0};
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + runTime);
        estimate.runTimes.push_back(runTime);
        estimate.criticalPath = std::max(estimate.criticalPath, ends.back());
        estimate.work += step.tasks * estimate.workOfTask(step, runTime);
    }
    job.estimate = std::move(estimate);
}

void JobForecast::record(const KeyedJob &job, std::uint32_t step, Duration runTime)
{
    const Duration declared = job.spec.steps[step].declaredRunTime;
    if (declared > Duration(0))
        m_ratios.record(job.rule.name, {},
                        Duration(runTime.count() * ReferenceRunTime.count() / declared.count()));
}

} // namespace Bluebellquay
