// Chooses the worker for a task of a keyed job. The load is many short tasks on workers of
// different speed and size, and workers start every task that they are sent.
#pragma once

#include "core/crashisolation.h"
#include "core/keyedjob.h"
#include "core/urgentdemand.h"
#include "core/workerregistry.h"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

// A task to be placed, with the conditions of its placement.
struct PlacementRequest
{
    const KeyedJob &job;
    const KeyedStep &step;
    // Expected run time on a worker of ordinary speed in the rack of the data.
    Duration expected{0};
    // Factor of the run time on workers outside the rack of the data.
    double remoteDataFactor = 1;
    // Agents that already have as many tasks of the step as one worker may.
    const std::vector<Incarnation> &excluded;
    // Data centre of the home.
    const std::string &dataCentre;
    // Resources to leave free for more urgent queues.
    UrgentReserve reserve;
    // Agent that returned or lost this task before; chosen only if no other worker fits.
    Incarnation avoidedAgent;
    const CrashIsolation &isolation;
    // Whether no task of another job may run on the worker when the task starts.
    bool exclusive = false;
    // Differs between tasks and between homes.
    std::uint64_t jitterSeed = 0;
};

// The chosen worker.
struct Placement
{
    Incarnation agent;
    // Whether the worker is outside the rack of the task's data.
    bool dataIsRemote = false;
    // Processors of the worker that must stay free, in thousandths.
    std::uint32_t keepFree = 0;
};

template <typename Policy>
concept WorkerPlacementPolicy = requires(const Policy policy, const WorkerRegistry &workers,
                                         const PlacementRequest &request)
{
    {
        policy.choose(workers, request)
        } -> std::same_as<std::optional<Placement>>;
};

// Chooses the worker with enough free resources on which the task is expected to end first, and
// prefers the less loaded one among equals. A task that fits no worker waits at its home: if it
// waited at a worker it would be bound to it, and more urgent tasks could not overtake it
// elsewhere.
//
// Homes learn of each other's orders with a delay. If all chose the best worker, they would
// overcommit it while others are idle. Random jitter on the cost therefore varies the choice among
// workers of similar cost from task to task.
//
// The task leaves some resources free for more urgent tasks that may arrive; see UrgentReserve.
struct EarliestFinish
{
    // Cost of a worker in another data centre, 2 ms: a round trip, and traffic that is charged.
    Duration otherDataCentreCost{2'000};
    // A full worker counts as slower than an empty one by this share, which spreads the load.
    double loadPenalty = 0.6;
    // Largest random increase of the cost of a worker, as a share of the expected run time.
    double costJitter = 0.3;

    std::optional<Placement> choose(const WorkerRegistry &workers,
                                    const PlacementRequest &request) const
    {
        std::optional<Placement> best;
        double bestCost = std::numeric_limits<double>::max();
        for (const auto &[incarnation, record] : workers.records()) {
            const WorkerAccess access = accessTo(record, request);
            if (!record.usable(request.job.rule.service) || access == WorkerAccess::Forbidden
                || !mayRun(record, request))
                continue;
            const std::uint32_t kept =
                request.exclusive ? keepOthersOut(record, request) : keepFree(record, request);
            ResourceNeed room = request.step.need;
            room.milliProcessors += kept;
            if (!record.fits(room))
                continue;
            double cost = costOn(record, request, access);
            if (access == WorkerAccess::Avoided)
                cost += AvoidedWorkerCost;
            else if (access == WorkerAccess::LastResort)
                cost += LastResortCost;
            if (cost < bestCost) {
                bestCost = cost;
                best = Placement{incarnation, isDataRemote(record, request), kept};
            }
        }
        return best;
    }

private:
    // In microseconds. Larger than the cost of any worker that need not be avoided, and in this
    // order.
    static constexpr double AvoidedWorkerCost = 1e12;
    static constexpr double LastResortCost = 1e13;
    static constexpr double AvoidedAgentCost = 1e14;

    static WorkerAccess accessTo(const WorkerRecord &record, const PlacementRequest &request)
    {
        const QueueRule &rule = request.job.rule;
        return request.isolation.access(rule.service, rule.name, record.agent.name);
    }

    static bool mayRun(const WorkerRecord &record, const PlacementRequest &request)
    {
        const std::string &label = request.step.requiredLabel;
        if (!label.empty() && !record.hasLabel(label))
            return false;
        const auto &excluded = request.excluded;
        return std::find(excluded.begin(), excluded.end(), record.agent.incarnation)
            == excluded.end();
    }

    // Processors of this worker that the task must leave free, in thousandths. The random draw
    // depends only on the agent, so all homes reserve on the same workers: whole tasks then fit on
    // a few workers, instead of fractions of a task on each.
    static std::uint32_t keepFree(const WorkerRecord &record, const PlacementRequest &request)
    {
        const double whole = std::floor(request.reserve.tasksPerWorker);
        const bool oneMore =
            uniform(0, record.agent.incarnation) < request.reserve.tasksPerWorker - whole;
        const double wanted =
            (whole + (oneMore ? 1 : 0)) * static_cast<double>(request.reserve.milliProcessors);
        const std::uint32_t total = record.room->total.milliProcessors;
        const std::uint32_t need = request.step.need.milliProcessors;
        // The limit lets the task run on this worker at least while it is idle.
        return std::min(static_cast<std::uint32_t>(wanted), total > need ? total - need : 0);
    }

    // Processors that are free beside the task if only tasks of its job are on the worker. The
    // agent checks it when the order arrives, so that two homes do not share the worker.
    static std::uint32_t keepOthersOut(const WorkerRecord &record, const PlacementRequest &request)
    {
        const std::uint64_t own = milliProcessorsAt(request.job, record.agent.incarnation)
            + request.step.need.milliProcessors;
        const std::uint32_t total = record.room->total.milliProcessors;
        return total > own ? static_cast<std::uint32_t>(total - own) : 0;
    }

    static bool isDataRemote(const WorkerRecord &record, const PlacementRequest &request)
    {
        const std::string &rack = request.step.dataRack;
        return !rack.empty() && !record.hasLabel(rack);
    }

    static double expectedTime(const WorkerRecord &record, const PlacementRequest &request)
    {
        const double factor = isDataRemote(record, request) ? request.remoteDataFactor : 1;
        return static_cast<double>(record.predicted(request.expected).count()) * factor;
    }

    static double processors(const WorkerRecord &record)
    {
        return std::max<double>(1, record.room->total.milliProcessors);
    }

    double costOn(const WorkerRecord &record, const PlacementRequest &request,
                  WorkerAccess access) const
    {
        const double free = static_cast<double>(record.freeMilliProcessors()) / processors(record);
        const double jitter = costJitter * uniform(request.jitterSeed, record.agent.incarnation);
        // Jobs that run alone, and tasks on workers of last resort, take as few workers as they
        // can.
        const bool few = request.exclusive || access == WorkerAccess::LastResort;
        const double avoided = few ? free : 1 - free;
        return expectedTime(record, request) * (1 + loadPenalty * avoided + jitter)
            + surcharge(record, request);
    }

    double surcharge(const WorkerRecord &record, const PlacementRequest &request) const
    {
        double cost = 0;
        if (record.agent.dataCentre != request.dataCentre)
            cost += static_cast<double>(otherDataCentreCost.count());
        if (record.agent.incarnation == request.avoidedAgent)
            cost += AvoidedAgentCost;
        return cost;
    }

    // Pseudorandom number in [0, 1), computed by the finalizer of the SplitMix64 generator.
    static double uniform(std::uint64_t jitterSeed, Incarnation agent)
    {
        std::uint64_t mixed = jitterSeed + agent.value() * 0x9e3779b97f4a7c15ULL;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        mixed ^= mixed >> 31U;
        constexpr unsigned UnusedBits = 11;
        constexpr double Scale = 1.0 / (1ULL << 53U);
        return static_cast<double>(mixed >> UnusedBits) * Scale;
    }
};
static_assert(WorkerPlacementPolicy<EarliestFinish>);

} // namespace Bluebellquay
