// Batches the acknowledgements of a home. They are delayed shortly so that they can be sent with
// another message to the same agent instead of in a frame of their own.
#pragma once

#include "base/messages.h"
#include "core/outbox.h"

#include <map>
#include <optional>
#include <vector>

namespace Bluebellquay {

class AckBatch
{
public:
    void add(TimePoint now, Incarnation agent, const TaskKey &key);
    // Sends what is due, and what can join a message that is in the outbox already.
    void flush(TimePoint now, Outbox &out);
    // Sends all pending acknowledgements of the agent.
    void flushTo(Incarnation agent, Outbox &out);
    // An unreachable agent repeats its results when it is back.
    void drop(Incarnation agent) { m_pending.erase(agent); }

    std::optional<TimePoint> nextWakeup() const;
    bool empty() const { return m_pending.empty(); }

private:
    struct PendingAcks
    {
        // Never empty.
        std::vector<TaskKey> keys;
        TimePoint due;
    };

    std::map<Incarnation, PendingAcks> m_pending;
};

} // namespace Bluebellquay
