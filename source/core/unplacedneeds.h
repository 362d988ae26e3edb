// Tasks that did not fit any worker during one scheduling pass, and their needs. In a long queue
// most waiting tasks are alike, so a task that needs at least as much as one that was not placed
// need not be tried on every worker.
#pragma once

#include "base/messages.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

class UnplacedNeeds
{
public:
    // No further task is tried after this many. Bounds the cost of a pass when the queue is long.
    static constexpr int MaxTasks = 24;

    // Counts a task that was not placed.
    void count() { ++m_tasks; }
    bool enough() const { return m_tasks >= MaxTasks; }

    // Records that no worker of the service has room for this need.
    void add(const std::string &service, const ResourceNeed &need)
    {
        m_needs.emplace_back(&service, need);
    }

    // Whether a need of at most this size was added for the service.
    bool cannotPlace(const std::string &service, const ResourceNeed &need) const
    {
        return std::any_of(m_needs.begin(), m_needs.end(), [&](const auto &item) {
            const auto &[otherService, other] = item;
            return *otherService == service && other.milliProcessors <= need.milliProcessors
                && other.memoryBytes <= need.memoryBytes && other.accelerators <= need.accelerators;
        });
    }

private:
    int m_tasks = 0;
    // The service names must outlive this object, which lives for one scheduling pass.
    std::vector<std::pair<const std::string *, ResourceNeed>> m_needs;
};

} // namespace Bluebellquay
