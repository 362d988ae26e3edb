// Measures the demand of the more urgent queues of a service at one home, and derives how much room
// less urgent jobs leave free for them. Without that reserve, urgent tasks that arrive while long
// jobs run would wait until these end.
#pragma once

#include "core/crashisolation.h"
#include "core/keyedjob.h"
#include "core/workerregistry.h"
#include "core/workrate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

namespace Bluebellquay {

// Room that less urgent tasks leave free on the workers of a service.
struct UrgentReserve
{
    // Number of tasks to leave room for, as a mean over the workers.
    double tasksPerWorker = 0;
    // Need of each of these tasks, in thousandths of a processor.
    std::uint32_t milliProcessors = 0;
};

class UrgentDemand
{
public:
    // Adds a job that has just arrived to the demand of its queue.
    void arrived(TimePoint now, const KeyedJob &job)
    {
        Rates &rates = m_rates[{job.rule.service, job.rule.priority, job.rule.name}];
        rates.work.add(now, job.estimate.work);
        // For jobs that arrive at random times, the mean number of processors in use is the arrival
        // rate times processors times run time. The variance of that number is the arrival rate
        // times the square of the processors times the run time.
        const auto criticalPath =
            static_cast<double>(std::max<Duration::rep>(1, job.estimate.criticalPath.count()));
        rates.variance.add(now, job.estimate.work * job.estimate.work / criticalPath);
        for (const KeyedStep &step : job.spec.steps)
            rates.taskNeed += (step.need.milliProcessors - rates.taskNeed) * SmoothingFactor;
    }

    // Arrival rate, per microsecond, of work that is placed before jobs of this queue with this
    // priority.
    double work(TimePoint now, const QueueRule &rule, std::uint32_t priority,
                const CrashIsolation &isolation) const
    {
        double total = 0;
        forEachMoreUrgent(rule, priority, isolation,
                          [&](const Rates &rates) { total += rates.work.rate(now); });
        return total;
    }

    // Room that jobs of this queue leave free for more urgent ones: `deviations` standard
    // deviations of the processors that the more urgent jobs use. Assumes that as much arrives at
    // each other home as at this one.
    UrgentReserve reserve(TimePoint now, const QueueRule &rule, const WorkerRegistry &workers,
                          const CrashIsolation &isolation, double deviations) const
    {
        double variance = 0;
        double need = 0;
        forEachMoreUrgent(rule, rule.priority, isolation, [&](const Rates &rates) {
            variance += rates.variance.rate(now);
            need = std::max(need, rates.taskNeed);
        });
        const double share = workers.sharedMilliProcessors(rule.service);
        if (need < 1 || share <= 0)
            return {};
        // The jobs of the other homes vary independently, so the variances add up.
        const double total = static_cast<double>(workers.totalMilliProcessors(rule.service));
        const double homes = total / share;
        const double kept =
            std::min(deviations * std::sqrt(variance * homes), total * MaxUrgentReserveShare);
        return {kept / need / static_cast<double>(workers.usableWorkers(rule.service)),
                static_cast<std::uint32_t>(need)};
    }

private:
    // Largest reserved share of the workers' processors. On a small site a few jobs already vary by
    // more, and reserved processors are lost to the other jobs.
    static constexpr double MaxUrgentReserveShare = 0.08;

    struct Rates
    {
        WorkRate work;
        WorkRate variance;
        // Mean need of a task, in thousandths of a processor.
        double taskNeed = 0;
    };
    // Weight of one step in the moving average Rates::taskNeed.
    static constexpr double SmoothingFactor = 0.05;

    // Visits the queues that are more urgent than this priority and share workers with this queue.
    template <typename Visitor>
    void forEachMoreUrgent(const QueueRule &rule, std::uint32_t priority,
                           const CrashIsolation &isolation, const Visitor &visit) const
    {
        const auto end = m_rates.lower_bound({rule.service, priority, {}});
        for (auto position = m_rates.lower_bound({rule.service, 0, {}}); position != end;
             ++position) {
            if (isolation.shareWorkers(rule.service, rule.name, position->first.queue))
                visit(position->second);
        }
    }

    struct DemandKey
    {
        std::string service;
        std::uint32_t priority = 0;
        std::string queue;

        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
        friend auto operator<=>(const DemandKey &, const DemandKey &) = default;
    };
    // Demand of each queue, by service and priority.
    std::map<DemandKey, Rates> m_rates;
};

} // namespace Bluebellquay
