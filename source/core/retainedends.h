// Ends of runs that an agent keeps for a while, to tell them again to homes that reconnect.
#pragma once

#include "base/coretime.h"
#include "base/runmessages.h"

#include <map>

namespace Bluebellquay {

class RetainedEnds
{
public:
    void keep(TimePoint now, const EndedRun &ended) { m_ends[ended.run] = {ended, now}; }
    void forget(const RunKey &run) { m_ends.erase(run); }

    // Null if the run has not ended, or its end has been forgotten.
    const EndedRun *find(const RunKey &run) const
    {
        const auto position = m_ends.find(run);
        return position != m_ends.end() ? &position->second.end : nullptr;
    }
    // Whether the run had not ended yet when a listing was requested that may still contain it.
    bool endedSince(const RunKey &run, TimePoint requestedAt) const
    {
        const auto position = m_ends.find(run);
        return position != m_ends.end() && requestedAt <= position->second.at;
    }

private:
    struct RetainedEnd
    {
        EndedRun end;
        // When the run ended.
        TimePoint at;
    };

    std::map<RunKey, RetainedEnd> m_ends;
};

} // namespace Bluebellquay
