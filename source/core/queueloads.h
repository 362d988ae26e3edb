// Which queues make up the load of each service at one home.
#pragma once

#include "core/keyedjob.h"
#include "core/workrate.h"

#include <map>
#include <string>
#include <vector>

namespace Bluebellquay {

class QueueLoads
{
public:
    // 5 s. Homes should agree on which queues are loaded, so the load is averaged over many jobs.
    static constexpr Duration AveragingTime{5'000'000};
    // Queues with a smaller share of the load of their service are left out.
    static constexpr double SmallestShare = 0.05;

    void arrived(TimePoint now, const KeyedJob &job)
    {
        m_loads[job.rule.service]
            .try_emplace(job.rule.name, AveragingTime)
            .first->second.add(now, job.estimate.work);
    }

    // Names of the queues with a part in the service's load.
    std::vector<std::string> loaded(TimePoint now, const std::string &service) const
    {
        std::vector<std::string> names;
        const auto queues = m_loads.find(service);
        if (queues == m_loads.end())
            return names;
        double total = 0;
        for (const auto &[queue, load] : queues->second)
            total += load.rate(now);
        for (const auto &[queue, load] : queues->second) {
            if (load.rate(now) >= total * SmallestShare)
                names.push_back(queue);
        }
        return names;
    }

private:
    // Arrival rate of work, by service and queue.
    std::map<std::string, std::map<std::string, WorkRate>> m_loads;
};

} // namespace Bluebellquay
