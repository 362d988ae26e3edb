#include "core/standstill.h"

#include <algorithm>
#include <cstdint>
#include <set>

namespace Bluebellquay {

bool standsStill(const std::vector<OngoingRun> &runs, const WorkerHealth &watch,
                 TimePoint lastListing)
{
    std::uint32_t overdue = 0;
    std::set<JobKey> jobs;
    double missingEnds = 0;
    for (const OngoingRun &run : runs) {
        const TimePoint quietSince = std::max(run.started, watch.lastEnd());
        const Duration quiet = std::max(lastListing - quietSince, Duration(0));
        missingEnds += static_cast<double>(quiet.count())
            / static_cast<double>(std::max<Duration::rep>(1, run.expected.count()));
        const TimePoint due = WorkerHealth::overdueAt(run.started, run.expected);
        if (lastListing < due)
            continue;
        // A run that was overdue when another one ended is slow, not at a standstill.
        if (watch.lastEnd() >= due)
            return false;
        ++overdue;
        jobs.insert(run.job);
    }
    if (watch.onProbation())
        return overdue > 0;
    return overdue >= WorkerHealth::OverdueRuns && jobs.size() >= WorkerHealth::OverdueJobs
        && missingEnds >= WorkerHealth::MissingEnds;
}

} // namespace Bluebellquay
