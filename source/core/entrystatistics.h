// What an entry core counts; the process shows it as metrics.
#pragma once

#include <cstdint>

namespace Bluebellquay {

struct EntryStatistics
{
    std::uint64_t idsIssued = 0;
    // Calls sent again because a new link to the home came up or a successor took over.
    std::uint64_t callsResent = 0;
    // Replies to no open call: late, repeated, or from a process that was not asked.
    std::uint64_t repliesIgnored = 0;
    // Replies that contradict their call, for example an answer with a wrong number of outputs.
    std::uint64_t repliesInvalid = 0;
    std::uint64_t callersLeft = 0;
    // Submissions that the home was asked to refuse because this entry is overloaded.
    std::uint64_t refusalsRequested = 0;
    std::uint64_t submissionsInvalid = 0;
    std::uint64_t idsMalformed = 0;
    // Messages that no peer has a reason to send to an entry.
    std::uint64_t messagesUnexpected = 0;
};

} // namespace Bluebellquay
