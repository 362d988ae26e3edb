// What proves to an agent that a run on its worker is over, or never began. A run that is over may
// be started on another worker, so nothing else ends one: neither what a third party says, nor
// silence, nor a refusal by the network.
#pragma once

#include "base/runmessages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Bluebellquay {

enum class EndEvidence : std::uint8_t {
    NotSent,           // no start was sent
    StartRefused,      // the worker refused each start, or can't have seen it
    ListedEnd,         // the worker lists the end
    MissingAfterStart, // not in a listing that was asked for after the worker had confirmed the run
    MissingAfterStop,  // not in a listing that was asked for after the worker had confirmed a stop
    LeaseOver,         // every lease that the worker may have got has run out
    NextLife,          // a later life of the worker has answered in its place
};

constexpr std::array AllEndEvidence{EndEvidence::NotSent,          EndEvidence::StartRefused,
                                    EndEvidence::ListedEnd,        EndEvidence::MissingAfterStart,
                                    EndEvidence::MissingAfterStop, EndEvidence::LeaseOver,
                                    EndEvidence::NextLife};

// Snake-case name as used in logs and metric labels.
constexpr std::string_view toString(EndEvidence evidence)
{
    constexpr std::array<std::string_view, AllEndEvidence.size()> Names = {
        "not_sent",           "start_refused", "listed_end", "missing_after_start",
        "missing_after_stop", "lease_over",    "next_life"};
    return Names[static_cast<std::size_t>(evidence)];
}

// How a run has ended, and by what that is known.
struct ProvenEnd
{
    RunKey run;
    RunResult end = RunResult::Done;
    EndEvidence evidence = EndEvidence::ListedEnd;
};

} // namespace Bluebellquay
