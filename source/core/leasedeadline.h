// Until when runs may be alive on a worker under the leases that its agent has asked for.
#pragma once

#include "base/coretime.h"
#include "base/strongid.h"

#include <algorithm>
#include <map>

namespace Bluebellquay {

// Number of a call that asks for a lease, from one.
using LeaseCall = StrongId<struct LeaseCallTag>;

class LeaseDeadline
{
public:
    // A call that asks for a lease until this time is about to be sent.
    LeaseCall asked(TimePoint until)
    {
        m_last = m_last.next();
        m_pending.emplace(m_last, until);
        return m_last;
    }
    // The call has ended. One that was sent may have renewed the lease, also without an answer; one
    // that was not sent has renewed nothing.
    void ended(LeaseCall call, bool sent)
    {
        const auto position = m_pending.find(call);
        if (position == m_pending.end())
            return;
        if (sent)
            m_latest = std::max(m_latest, position->second);
        m_pending.erase(position);
    }
    // The calls in progress will not be reported as ended; each may have been sent.
    void abandonCalls()
    {
        while (!m_pending.empty())
            ended(m_pending.begin()->first, true);
    }

    // No lease that the worker may have got lasts longer.
    TimePoint latest() const
    {
        TimePoint latest = m_latest;
        for (const auto &[call, until] : m_pending)
            latest = std::max(latest, until);
        return latest;
    }

private:
    LeaseCall m_last;
    TimePoint m_latest{};
    // Ends of the leases that calls in progress ask for.
    std::map<LeaseCall, TimePoint> m_pending;
};

} // namespace Bluebellquay
