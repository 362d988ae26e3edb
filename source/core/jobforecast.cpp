#include "core/jobforecast.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

constexpr Duration DeclaredUnit{1'000'000};

} // namespace

void JobForecast::apply(KeyedJob &job) const
{
    const Duration ratio = m_ratios.expected(job.rule.name, {}, DeclaredUnit);
    const double factor =
        static_cast<double>(ratio.count()) / static_cast<double>(DeclaredUnit.count());
    JobOutlook outlook;
    std::vector<Duration> ends;
    for (const KeyedStep &step : job.spec.steps) {
        const auto runTime = std::chrono::duration_cast<Duration>(step.declaredRunTime * factor);
        Duration begin{0};
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + runTime);
        outlook.runTimes.push_back(runTime);
        outlook.chain = std::max(outlook.chain, ends.back());
        outlook.work += step.tasks * outlook.workOfTask(step, runTime);
    }
    job.outlook = std::move(outlook);
}

void JobForecast::record(const KeyedJob &job, std::uint32_t step, Duration runTime)
{
    const Duration declared = job.spec.steps[step].declaredRunTime;
    if (declared > Duration(0))
        m_ratios.record(job.rule.name, {},
                        Duration(runTime.count() * DeclaredUnit.count() / declared.count()));
}

} // namespace Bluebellquay
