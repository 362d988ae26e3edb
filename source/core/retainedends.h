// Ends of runs that an agent keeps for a while, to tell them again to homes that reconnect.
#pragma once

#include "base/coretime.h"
#include "base/runmessages.h"
#include "base/submissionid.h"

#include <map>

namespace Bluebellquay {

class RetainedEnds
{
public:
    void keep(TimePoint now, Incarnation home, const EndedRun &ended)
    {
        m_ends[ended.run] = {ended, home, now};
    }
    void forget(const RunKey &run) { m_ends.erase(run); }

    // Whether the number of the run was used, by any home.
    bool contains(const RunKey &run) const { return m_ends.contains(run); }
    // Null if the run has not ended, its end has been forgotten, or it was ordered by another home.
    const EndedRun *find(Incarnation home, const RunKey &run) const
    {
        const auto position = m_ends.find(run);
        const bool known = position != m_ends.end() && position->second.home == home;
        return known ? &position->second.end : nullptr;
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
        // The home that ordered the run.
        Incarnation home;
        // When the run ended.
        TimePoint at;
    };

    std::map<RunKey, RetainedEnd> m_ends;
};

} // namespace Bluebellquay
