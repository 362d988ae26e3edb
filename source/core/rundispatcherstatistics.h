// Counters of the dispatcher of keyed jobs since the start of the process.
#pragma once

#include "base/answer.h"
#include "base/runmessages.h"

#include <cstdint>

namespace Bluebellquay {

struct RunDispatcherStatistics
{
    std::uint64_t jobsSubmitted = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsRefused = 0;
    std::uint64_t jobsExpired = 0;
    std::uint64_t jobsAbandoned = 0;
    std::uint64_t orders = 0;
    std::uint64_t ordersReturned = 0;
    std::uint64_t runsDone = 0;
    std::uint64_t runsFailed = 0;
    std::uint64_t runsStopped = 0;
    std::uint64_t runsLost = 0;
    // Workers whose crash their agent has reported.
    std::uint64_t workerCrashes = 0;
    // Jobs given up because workers had crashed under one of their tasks.
    std::uint64_t jobsCrashing = 0;
    // Jobs refused because no worker was left to which their queue is confined.
    std::uint64_t jobsIsolated = 0;

    void count(Outcome outcome)
    {
        jobsCompleted += outcome == Outcome::Completed ? 1 : 0;
        jobsFailed += outcome == Outcome::Failed ? 1 : 0;
        jobsRefused += outcome == Outcome::NotRun ? 1 : 0;
        jobsExpired += outcome == Outcome::Unknown ? 1 : 0;
    }
    void count(RunResult end)
    {
        runsDone += end == RunResult::Done ? 1 : 0;
        runsFailed += end == RunResult::Failed ? 1 : 0;
        runsStopped += end == RunResult::Stopped ? 1 : 0;
        runsLost += end == RunResult::Lost ? 1 : 0;
        ordersReturned += end == RunResult::NotStarted ? 1 : 0;
    }
};

} // namespace Bluebellquay
