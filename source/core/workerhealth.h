// Judges from the ends of runs, and from ends that fail to come, whether a worker is healthy.
// Detects workers that fail what they start, that end nothing while they go on announcing
// themselves, or that have become slow. An unhealthy worker is suspended, and then tried with one
// run (the probe).
#pragma once

#include "base/coretime.h"
#include "base/runmessages.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace Bluebellquay {

class WorkerHealth
{
public:
    // A worker is suspended after this many failures in a row of different jobs. Healthy workers
    // fail a few runs in a thousand.
    static constexpr int FailuresInARow = 3;
    // It is suspended, too, when this share of its recent runs has failed.
    static constexpr double FailureShare = 0.3;
    // Weight of the newest run in the exponential moving averages of the failure share and of the
    // slowdown.
    static constexpr double SmoothingFactor = 0.1;
    static constexpr Duration FirstSuspension{400'000};
    static constexpr Duration LongestSuspension{3'200'000};
    // A run is overdue after this multiple of its expected time, and this much more.
    static constexpr int OverdueFactor = 2;
    static constexpr Duration OverdueSlack{40'000};
    // Minimum number of overdue runs for a standstill, if no run has ended since they became
    // overdue. The tasks of one job may all take longer than expected, so the runs must belong to
    // several jobs.
    static constexpr std::uint32_t OverdueRuns = 3;
    static constexpr std::size_t OverdueJobs = 2;
    // Minimum number of ends that the expected run times predict since the last end, and that have
    // not come.
    static constexpr double MissingEnds = 8;

    void ended(TimePoint now, JobKey job, RunResult end, Duration runTime, Duration expected)
    {
        m_lastEnd = now;
        if (end == RunResult::Failed)
            return failed(now, job);
        if (end != RunResult::Done)
            return;
        m_failuresInARow = 0;
        m_failureShare *= 1 - SmoothingFactor;
        m_suspendedUntil.reset();
        m_probing = false;
        m_suspension = Duration(0);
        if (expected > Duration(0))
            recordSlowdown(static_cast<double>(runTime.count())
                           / static_cast<double>(expected.count()));
    }

    // The worker reports that it is unhealthy, or is at a standstill.
    void suspend(TimePoint now)
    {
        m_suspension = m_suspension == Duration(0) ? FirstSuspension
                                                   : std::min(m_suspension * 2, LongestSuspension);
        m_suspendedUntil = now + m_suspension;
        m_probing = false;
    }

    // True from the time at which a suspended worker may be tried with one run until that run ends.
    bool suspended(TimePoint now) const
    {
        return m_suspendedUntil && (m_probing || now < *m_suspendedUntil);
    }
    bool onProbation() const { return m_suspendedUntil.has_value(); }
    std::optional<TimePoint> probeAt() const { return m_probing ? std::nullopt : m_suspendedUntil; }
    void probeStarted() { m_probing = m_suspendedUntil.has_value(); }
    // The probe ended without a result, for example because its job was cancelled.
    void probeAbandoned() { m_probing = false; }

    TimePoint lastEnd() const { return m_lastEnd; }
    static TimePoint overdueAt(TimePoint started, Duration expected)
    {
        return started + expected * OverdueFactor + OverdueSlack;
    }

    // Ratio of actual to expected run time on this worker; 1 for one of ordinary speed.
    double slowdown() const { return m_slowdown; }

private:
    static constexpr double LowestSlowdown = 0.25;
    static constexpr double HighestSlowdown = 20;

    void failed(TimePoint now, JobKey job)
    {
        if (job == m_lastFailedJob && !onProbation())
            return;
        m_lastFailedJob = job;
        ++m_failuresInARow;
        m_failureShare += (1 - m_failureShare) * SmoothingFactor;
        if (onProbation() || m_failuresInARow >= FailuresInARow || m_failureShare >= FailureShare)
            suspend(now);
    }

    void recordSlowdown(double ratio)
    {
        const double clamped = std::clamp(ratio, LowestSlowdown, HighestSlowdown);
        m_slowdown += (clamped - m_slowdown) * SmoothingFactor;
    }

    int m_failuresInARow = 0;
    double m_failureShare = 0;
    double m_slowdown = 1;
    // Repeated failures of one job count once: the fault may be that of the job.
    JobKey m_lastFailedJob;
    Duration m_suspension{0};
    std::optional<TimePoint> m_suspendedUntil;
    // A run that decides about the suspension is under way.
    bool m_probing = false;
    TimePoint m_lastEnd{};
};

} // namespace Bluebellquay
