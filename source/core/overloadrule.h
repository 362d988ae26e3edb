// Decides which jobs are refused under overload, and after what time their callers should retry.
// When more work arrives than the workers can do, a longer queue only makes every job late. A short
// burst on an otherwise idle system is not overload.
#pragma once

#include "core/keyedjob.h"

#include <algorithm>

namespace Bluebellquay {

// Load of one service as its home sees it, relative to one job. Work is processors times run time,
// in thousandths of a processor times microseconds.
struct ServiceLoad
{
    // Work of the waiting tasks that are placed before the job.
    double waitingWork = 0;
    // This home's share of the workers' processors, in thousandths of a processor.
    double milliProcessors = 0;
    // Arrival rate, per microsecond, of work that is placed before the job regardless of the
    // present queue.
    double arrivingWork = 0;
    // Time for which at least one task has been waiting for a worker without interruption.
    Duration backlogAge{0};
};

class OverloadRule
{
public:
    // 250 ms. Overload is assumed once the queue has not been empty for this long; a shorter
    // backlog counts as a burst.
    static constexpr Duration OverloadBacklogAge{250'000};
    // 60 s, longer than any job waits.
    static constexpr Duration MaxExpectedWait{60'000'000};
    // 3 s. For callers that are refused because no worker is left: all data centres are evacuated,
    // or all workers to which their queue is confined have crashed. Both last for seconds at least,
    // and nothing tells their end in advance.
    static constexpr Duration NoWorkerRetryAfter{3'000'000};
    // 1 s.
    static constexpr Duration MinRetryAfter{1'000'000};
    // 10 s.
    static constexpr Duration MaxRetryAfter{10'000'000};
    // Smallest share of the processors that is assumed to be left for the waiting work. The arrival
    // rate fluctuates within seconds, so some capacity is expected to be left even while the rate
    // equals the capacity.
    static constexpr double MinShareForWaitingWork = 0.25;
    // Retry times are spread over this share of the wait, so that refused callers do not all return
    // at once.
    static constexpr double RetrySpread = 0.5;

    // Time until the waiting work is done, given the work that keeps arriving.
    Duration expectedWait(const ServiceLoad &load) const
    {
        const double left = std::max(load.milliProcessors - load.arrivingWork,
                                     load.milliProcessors * MinShareForWaitingWork);
        if (left <= 0 || load.waitingWork / left > static_cast<double>(MaxExpectedWait.count()))
            return MaxExpectedWait;
        return Duration(static_cast<Duration::rep>(load.waitingWork / left));
    }

    // Whether a job with this critical path would end later than `left` from now, the time until
    // its result is of no use. Returns false without overload, and while no worker is known:
    // workers may be linked soon.
    bool wouldFinishTooLate(const ServiceLoad &load, Duration criticalPath, Duration left) const
    {
        return load.milliProcessors > 0 && load.backlogAge >= OverloadBacklogAge
            && expectedWait(load) + criticalPath > left;
    }

    // Time after which the caller should submit again. The key spreads callers that are refused at
    // the same time.
    Duration retryAfter(const ServiceLoad &load, JobKey key) const
    {
        return spread(load.milliProcessors > 0
                          ? std::clamp(expectedWait(load), MinRetryAfter, MaxRetryAfter)
                          : MinRetryAfter,
                      key);
    }
    // The same for a caller for whose job no worker is left.
    Duration retryAfterNoWorker(JobKey key) const { return spread(NoWorkerRetryAfter, key); }

private:
    static Duration spread(Duration wait, JobKey key)
    {
        const double place = static_cast<double>(key.value() % RetrySpreadSteps)
            / static_cast<double>(RetrySpreadSteps);
        return wait + std::chrono::duration_cast<Duration>(wait * (RetrySpread * place));
    }

    // Number of distinct retry times within RetrySpread.
    static constexpr std::uint64_t RetrySpreadSteps = 1024;
};

} // namespace Bluebellquay
