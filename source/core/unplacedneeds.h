// Needs that no worker has room for at the moment. Answers to the load of a standing queue: most of
// its waiting tasks are alike, so one that needs as much as another that found no worker does not
// have to be tried on all of them.
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
    // The service's workers have no room for this need.
    void add(const std::string &service, const ResourceNeed &need)
    {
        m_needs.emplace_back(&service, need);
    }

    // Whether a need of at most this size was added for the service.
    bool rulesOut(const std::string &service, const ResourceNeed &need) const
    {
        return std::any_of(m_needs.begin(), m_needs.end(), [&](const auto &item) {
            const auto &[otherService, other] = item;
            return *otherService == service && other.milliProcessors <= need.milliProcessors
                && other.memoryBytes <= need.memoryBytes && other.accelerators <= need.accelerators;
        });
    }

private:
    // The names outlive this object: it lives for one turn.
    std::vector<std::pair<const std::string *, ResourceNeed>> m_needs;
};

} // namespace Bluebellquay
