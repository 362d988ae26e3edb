// When a link sends a heartbeat or a ping. Answers to the load of many links that
// carry messages anyway: a heartbeat beside them tells the peer nothing but what it carries itself.
#pragma once

#include "base/coretime.h"

namespace Bluebellquay {

class HeartbeatPlan
{
public:
    // While other frames are sent, heartbeats are left out until the last one is longestGap old; a
    // gap up to the interval leaves none out. Pings are sent at their own interval, but at most
    // once for each interval of heartbeats.
    HeartbeatPlan(Duration interval, Duration longestGap, Duration pingInterval)
        : m_interval(interval)
        , m_longestGap(longestGap)
        , m_pingInterval(pingInterval)
    { }

    // Called once for each interval; true if a heartbeat is to be sent now.
    bool heartbeatDue(TimePoint now, TimePoint lastFrameSent)
    {
        const bool busy = now - lastFrameSent < m_interval / 2;
        if (busy && m_sent && now + m_interval - m_lastHeartbeat <= m_longestGap)
            return false;
        m_sent = true;
        m_lastHeartbeat = now;
        return true;
    }

    // Called when the link is up, and then once for each interval; true if a ping is to be sent
    // now.
    bool pingDue(TimePoint now)
    {
        // Timers jitter: a comparison of times would leave out every second ping.
        const bool withEachHeartbeat = m_pingInterval <= m_interval;
        if (m_pinged && !withEachHeartbeat && now - m_lastPing < m_pingInterval)
            return false;
        m_pinged = true;
        m_lastPing = now;
        return true;
    }

private:
    Duration m_interval;
    Duration m_longestGap;
    Duration m_pingInterval;
    bool m_sent = false;
    TimePoint m_lastHeartbeat{};
    bool m_pinged = false;
    TimePoint m_lastPing{};
};

} // namespace Bluebellquay
