// Capacity of a worker that its runs hold. Free capacity is what they leave of the room that the
// worker says it has, which may shrink below what they hold and grow again.
#pragma once

#include "base/messages.h"

#include <cstdint>

namespace Bluebellquay {

// Zero where the part is larger.
template <typename Number>
Number without(Number whole, Number part)
{
    return whole > part ? whole - part : 0;
}

class HeldCapacity
{
public:
    void hold(const ResourceNeed &need)
    {
        m_held.milliProcessors += need.milliProcessors;
        m_held.memoryBytes += need.memoryBytes;
        m_held.accelerators += need.accelerators;
    }
    void release(const ResourceNeed &need) { m_held = difference(m_held, need); }

    // In thousandths of a processor.
    std::uint32_t milliProcessors() const { return m_held.milliProcessors; }
    ResourceNeed freeOf(const ResourceNeed &room) const { return difference(room, m_held); }
    // Whether the room has shrunk below what is held.
    bool exceeds(const ResourceNeed &room) const
    {
        return m_held.milliProcessors > room.milliProcessors
            || m_held.memoryBytes > room.memoryBytes || m_held.accelerators > room.accelerators;
    }
    // Whether the need fits into the room, with so many thousandths of a processor left free.
    bool fits(const ResourceNeed &need, std::uint32_t keepFree, const ResourceNeed &room) const
    {
        const ResourceNeed free = freeOf(room);
        return std::uint64_t(need.milliProcessors) + keepFree <= free.milliProcessors
            && need.memoryBytes <= free.memoryBytes && need.accelerators <= free.accelerators;
    }

private:
    static ResourceNeed difference(const ResourceNeed &whole, const ResourceNeed &part)
    {
        return {without(whole.milliProcessors, part.milliProcessors),
                without(whole.memoryBytes, part.memoryBytes),
                without(whole.accelerators, part.accelerators)};
    }

    ResourceNeed m_held;
};

} // namespace Bluebellquay
