// Counters of the run tracker since the start of the process.
#pragma once

#include "base/reasoncounts.h"
#include "base/runmessages.h"
#include "core/endevidence.h"
#include "core/runcalls.h"

#include <cstdint>

namespace Bluebellquay {

struct RunTrackerStatistics : RunCallStatistics
{
    std::uint64_t ordersReceived = 0;
    std::uint64_t ordersReturned = 0;
    std::uint64_t ordersEvacuated = 0;
    // Orders that had room, but not a contact to their home as recent as the lease asks for.
    std::uint64_t ordersAwaitingContact = 0;
    std::uint64_t started = 0;
    std::uint64_t homesOutOfTouch = 0;
    std::uint64_t workerRefusals = 0;
    std::uint64_t workerSilences = 0;
    std::uint64_t leasesExpired = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t standstills = 0;
    std::uint64_t suspensions = 0;
    // Runs that were started, by what is known of their end.
    ReasonCounts<EndEvidence, AllEndEvidence.size()> evidence;

    void count(RunResult end, EndEvidence by)
    {
        evidence.add(by);
        done += end == RunResult::Done ? 1 : 0;
        failed += end == RunResult::Failed ? 1 : 0;
        stopped += end == RunResult::Stopped ? 1 : 0;
        lost += end == RunResult::Lost ? 1 : 0;
    }
};

} // namespace Bluebellquay
