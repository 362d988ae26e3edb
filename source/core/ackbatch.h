// Acknowledgements that a home owes to agents. They wait a short time for another message to the
// same agent, so that few frames carry nothing else.
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
    // Sends everything that is owed to the agent.
    void flushTo(Incarnation agent, Outbox &out);
    // An unreachable agent repeats its results when it is back.
    void drop(Incarnation agent) { m_owed.erase(agent); }

    std::optional<TimePoint> nextWakeup() const;
    bool empty() const { return m_owed.empty(); }

private:
    struct Owed
    {
        // Never empty.
        std::vector<TaskKey> keys;
        TimePoint due;
    };

    std::map<Incarnation, Owed> m_owed;
};

} // namespace Bluebellquay
