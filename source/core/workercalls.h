// Calls of an agent to the worker on its machine, and their answers, independent of the wire
// format. The platform adapter (platform/) carries them out.
#pragma once

#include "base/coretime.h"
#include "base/runmessages.h"
#include "base/submissionid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

// One incarnation of a worker. A restarted worker is another one, even under the same name.
struct WorkerIdentity
{
    std::string name;
    // Unix milliseconds of its start, by its own clock.
    std::uint64_t startedAt = 0;

    friend bool operator==(const WorkerIdentity &, const WorkerIdentity &) = default;
};

// What a worker announces of itself.
struct WorkerProfile
{
    WorkerIdentity identity;
    // host:port at which it takes calls.
    std::string address;
    std::string service;
    std::vector<std::string> labels;
    // Total capacity, not the free part of it.
    ResourceNeed room;
    bool draining = false;
};

// Start this run. The answer is reported by RunTracker::startAnswered().
struct WorkerStart
{
    RunKey run;
    std::string payload;
};

// Stop this run, or refuse it if it arrives later. Answered by RunTracker::stopAnswered().
struct WorkerStop
{
    RunKey run;
};

enum class StartAnswer : std::uint8_t {
    Accepted,
    Refused,   // the worker says that it has not started the run
    Unhealthy, // as Refused, and the worker reports that it is unhealthy
    NotSent,   // no connection: the worker can't have seen the order
    NoAnswer,  // it may have been carried out, or may be later
};

// How a run ended, as the worker lists it.
struct ListedEnd
{
    RunKey run;
    RunResult end = RunResult::Done;
};

// A worker's list of the runs that are running and of those that have ended.
struct RunListing
{
    WorkerIdentity worker;
    // When the listing was requested; runs that were started later may be missing.
    TimePoint askedAt;
    std::vector<RunKey> running;
    std::vector<ListedEnd> ended;
    // Rows of the lists that could not be read.
    std::uint32_t unreadable = 0;
    // Those of them that are in the list of running runs.
    std::uint32_t unreadableRunning = 0;
    // More runs may have ended than are listed.
    bool moreEnds = false;
};

} // namespace Bluebellquay
