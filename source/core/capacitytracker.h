// Tracks the capacity of an agent's upstream and how much of it is allocated. Upstreams start every
// task that they receive, so the agent checks slots, connections, processors, memory and
// accelerators itself.
#pragma once

#include "base/job.h"
#include "core/agentcore.h"

#include <cstdint>

namespace Bluebellquay {

class CapacityTracker
{
public:
    void setCapacity(const UpstreamCapacity &capacity) { m_capacity = capacity; }
    const UpstreamCapacity &capacity() const { return m_capacity; }
    // Number of tasks that may run at once; the smaller of slots and connections.
    std::uint32_t slots() const;
    std::uint32_t freeSlots() const;

    // True if even the idle upstream can't hold such a task.
    bool neverFits(const ResourceNeed &need) const;
    // Number of such tasks that fit now, up to the limit.
    std::uint32_t fitting(const ResourceNeed &need, std::uint32_t limit) const;
    void allocate(const ResourceNeed &need, std::uint32_t tasks);
    void release(const ResourceNeed &need, std::uint32_t tasks);
    // Nothing is taken any more; the upstream was replaced.
    void reset();

private:
    UpstreamCapacity m_capacity;
    std::uint32_t m_taken = 0;
    std::uint64_t m_milliProcessors = 0;
    std::uint64_t m_memoryBytes = 0;
    std::uint64_t m_accelerators = 0;
};

} // namespace Bluebellquay
