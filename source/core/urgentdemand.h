// How much the more urgent queues of a service ask for, as one home sees it. Answers to the load of
// long jobs beside urgent short ones: without room left for them, urgent tasks that arrive would
// wait until long ones end.
#pragma once

#include "core/keyedjob.h"
#include "core/workerboard.h"
#include "core/workrate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Bluebellquay {

// Room that less urgent tasks leave free on the workers of a service.
struct UrgentReserve
{
    // Mean over the workers.
    double tasksPerWorker = 0;
    // Of each of these tasks, in thousandths.
    std::uint32_t milliProcessors = 0;
};

class UrgentDemand
{
public:
    void arrived(TimePoint now, const KeyedJob &job)
    {
        Rates &rates = m_rates[{job.rule.service, job.rule.priority}];
        rates.work.add(now, job.outlook.work);
        // Jobs that arrive at random times put processors x time^-1 x time in use on average, and
        // the variance of that number is the sum of their squares.
        const auto chain =
            static_cast<double>(std::max<Duration::rep>(1, job.outlook.chain.count()));
        rates.variance.add(now, job.outlook.work * job.outlook.work / chain);
        for (const KeyedStep &step : job.spec.steps)
            rates.taskNeed += (step.need.milliProcessors - rates.taskNeed) * SmoothingFactor;
    }

    // Work that arrives with each microsecond in queues more urgent than this priority.
    double work(TimePoint now, const std::string &service, std::uint32_t priority) const
    {
        double total = 0;
        forEach(service, priority, [&](const Rates &rates) { total += rates.work.rate(now); });
        return total;
    }

    // Room that a job of this queue leaves free for more urgent ones: so many standard deviations
    // of the processors that they use, if as much arrives at each of the homes as at this one.
    UrgentReserve reserve(TimePoint now, const QueueRule &rule, const WorkerBoard &board,
                          double deviations) const
    {
        double variance = 0;
        double need = 0;
        forEach(rule.service, rule.priority, [&](const Rates &rates) {
            variance += rates.variance.rate(now);
            need = std::max(need, rates.taskNeed);
        });
        const double share = board.sharedMilliProcessors(rule.service);
        if (need < 1 || share <= 0)
            return {};
        // The other homes have jobs of their own, which vary independently.
        const double total = static_cast<double>(board.totalMilliProcessors(rule.service));
        const double homes = total / share;
        const double kept =
            std::min(deviations * std::sqrt(variance * homes), total * MostReserved);
        return {kept / need / static_cast<double>(board.usableWorkers(rule.service)),
                static_cast<std::uint32_t>(need)};
    }

private:
    // Share of the workers' processors. On a small site a few jobs already vary by more, and what
    // is kept free is lost to the others.
    static constexpr double MostReserved = 0.08;

    struct Rates
    {
        WorkRate work;
        WorkRate variance;
        // Mean processors of a task, in thousandths.
        double taskNeed = 0;
    };
    // Of one step in the mean need of a task.
    static constexpr double SmoothingFactor = 0.05;

    // Queues of the service that are more urgent than this priority.
    template <typename Visitor>
    void forEach(const std::string &service, std::uint32_t priority, const Visitor &visit) const
    {
        const auto end = m_rates.lower_bound({service, priority});
        for (auto position = m_rates.lower_bound({service, 0}); position != end; ++position)
            visit(position->second);
    }

    // By service and priority.
    std::map<std::pair<std::string, std::uint32_t>, Rates> m_rates;
};

} // namespace Bluebellquay
