// Which worker gets a task of a keyed job. Answers to the load of many short tasks on workers of
// different speed and size that start whatever they are told to.
#pragma once

#include "core/workerboard.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace Bluebellquay {

// The task that is to be placed.
struct PlacementRequest
{
    const std::string &service;
    const ResourceNeed &need;
    Duration expected{0};
    // Data centre of the home.
    const std::string &dataCentre;
    // Agent that has returned or lost this task before; chosen only if no other one fits.
    Incarnation avoided;
};

template <typename Policy>
concept WorkerChoice = requires(const Policy policy, const WorkerBoard &board,
                                const PlacementRequest &request)
{
    {
        policy.choose(board, request)
        } -> std::same_as<std::optional<Incarnation>>;
};

// Takes the worker on which the task should end first; among equals the emptier one. If none has
// room, a worker may be sent a little more than it can hold, so that it has a task at hand when one
// ends.
struct EarliestEnd
{
    // Share of a worker's processors that may be ordered beyond its room.
    double queueAhead = 0.1;
    // Cost of leaving the data centre: a round trip, and bytes that are charged.
    Duration otherCentre{2'000};
    // A full worker counts as this much slower than an empty one, so that load spreads.
    double loadPenalty = 0.1;

    std::optional<Incarnation> choose(const WorkerBoard &board,
                                      const PlacementRequest &request) const
    {
        std::optional<Incarnation> best;
        double bestCost = std::numeric_limits<double>::max();
        for (const auto &[incarnation, entry] : board.entries()) {
            if (!entry.usable(request.service))
                continue;
            const double cost = this->cost(entry, request);
            if (cost < bestCost) {
                bestCost = cost;
                best = incarnation;
            }
        }
        return best;
    }

private:
    static constexpr double Avoided = 1e12;
    static constexpr double Unfit = std::numeric_limits<double>::max();

    double cost(const BoardEntry &entry, const PlacementRequest &request) const
    {
        const double total = std::max<double>(1, entry.room->total.milliProcessors);
        const double expected = static_cast<double>(entry.predicted(request.expected).count());
        double cost = expected;
        if (entry.fits(request.need)) {
            const double free = static_cast<double>(entry.freeMilliProcessors()) / total;
            cost += expected * loadPenalty * (1 - free);
        } else {
            const double ahead = static_cast<double>(entry.overcommitted());
            if (entry.room->probation || ahead + request.need.milliProcessors > total * queueAhead)
                return Unfit;
            // Half a run is the mean time until one of the runs ahead ends.
            cost += expected * (QueuedCost + ahead / total);
        }
        if (entry.agent.dataCentre != request.dataCentre)
            cost += static_cast<double>(otherCentre.count());
        if (entry.agent.incarnation == request.avoided)
            cost += Avoided;
        return cost;
    }

    static constexpr double QueuedCost = 0.5;
};
static_assert(WorkerChoice<EarliestEnd>);

} // namespace Bluebellquay
