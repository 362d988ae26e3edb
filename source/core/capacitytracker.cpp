#include "core/capacitytracker.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// Number of tasks with this need that fit between taken and capacity. Zero means undeclared.
std::uint32_t fittingOf(std::uint64_t capacity, std::uint64_t taken, std::uint64_t need,
                        std::uint32_t limit)
{
    if (need == 0 || capacity == 0)
        return limit;
    if (taken >= capacity)
        return 0;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>((capacity - taken) / need, limit));
}

} // namespace

std::uint32_t CapacityTracker::slots() const
{
    // An upstream that declares no connections is limited by its slots only.
    return m_capacity.connections == 0 ? m_capacity.slots
                                       : std::min(m_capacity.slots, m_capacity.connections);
}

std::uint32_t CapacityTracker::freeSlots() const
{
    return slots() > m_taken ? slots() - m_taken : 0;
}

bool CapacityTracker::neverFits(const ResourceNeed &need) const
{
    return fittingOf(m_capacity.milliProcessors, 0, need.milliProcessors, 1) == 0
        || fittingOf(m_capacity.memoryBytes, 0, need.memoryBytes, 1) == 0
        || need.accelerators > m_capacity.accelerators;
}

std::uint32_t CapacityTracker::fitting(const ResourceNeed &need, std::uint32_t limit) const
{
    std::uint32_t count = std::min(limit, freeSlots());
    // Reported use lags, and declared use may be too low: the larger one counts.
    const std::uint64_t processors =
        std::max<std::uint64_t>(m_milliProcessors, m_capacity.usedMilliProcessors);
    const std::uint64_t memory = std::max(m_memoryBytes, m_capacity.usedMemoryBytes);
    count = fittingOf(m_capacity.milliProcessors, processors, need.milliProcessors, count);
    count = fittingOf(m_capacity.memoryBytes, memory, need.memoryBytes, count);
    if (need.accelerators > 0 && m_capacity.accelerators == 0)
        return 0;
    return fittingOf(m_capacity.accelerators, m_accelerators, need.accelerators, count);
}

void CapacityTracker::allocate(const ResourceNeed &need, std::uint32_t tasks)
{
    m_taken += tasks;
    m_milliProcessors += std::uint64_t(need.milliProcessors) * tasks;
    m_memoryBytes += need.memoryBytes * tasks;
    m_accelerators += std::uint64_t(need.accelerators) * tasks;
}

void CapacityTracker::release(const ResourceNeed &need, std::uint32_t tasks)
{
    m_taken -= tasks;
    m_milliProcessors -= std::uint64_t(need.milliProcessors) * tasks;
    m_memoryBytes -= need.memoryBytes * tasks;
    m_accelerators -= std::uint64_t(need.accelerators) * tasks;
}

void CapacityTracker::reset()
{
    *this = CapacityTracker();
}

} // namespace Bluebellquay
