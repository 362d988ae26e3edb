// Which agents are offered a submission. Variation point: a policy selects among the serving
// agents.
#pragma once

#include "core/peertable.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <random>
#include <vector>

namespace Bluebellquay {

// What is to be placed.
struct PlacementDemand
{
    // Tasks without a binding.
    std::uint32_t tasks = 1;
    std::uint32_t jobTasks = 1;
    Urgency urgency = Urgency::Normal;
    Duration expectedRunTime{0};
};

// Selects agents from the candidates; the agent itself is not among them.
template <typename Policy>
concept PlacementPolicy = requires(const Policy &policy, const PeerTable &peers,
                                   const std::vector<Incarnation> &candidates,
                                   const PlacementDemand &demand, std::mt19937_64 &random)
{
    {
        policy.select(peers, candidates, demand, random)
        } -> std::same_as<std::vector<Incarnation>>;
};

// Offers a single request to few agents and the tasks of a job to many. Agents that report free
// slots come first, so that few offers are made in vain.
struct LoadAwarePlacement
{
    // Agents at most for one submission; all agents of a small site.
    std::size_t limit = 32;
    // Offers of a single request if agents with free slots are known, and if none is.
    std::size_t freeOffers = 3;
    std::size_t fullOffers = 32;

    std::vector<Incarnation> select(const PeerTable &peers,
                                    const std::vector<Incarnation> &candidates,
                                    const PlacementDemand &demand, std::mt19937_64 &random) const
    {
        std::vector<Incarnation> agents = candidates;
        std::shuffle(agents.begin(), agents.end(), random);
        const auto isFree = [&](Incarnation agent) {
            const Peer *peer = peers.find(agent);
            return !peer->loadKnown || peer->load.freeSlots > 0;
        };
        const auto firstFull = std::stable_partition(agents.begin(), agents.end(), isFree);
        const auto free = static_cast<std::size_t>(firstFull - agents.begin());
        agents.resize(std::min(agents.size(), offers(peers, agents, free, demand)));
        return agents;
    }

private:
    std::size_t offers(const PeerTable &peers, const std::vector<Incarnation> &agents,
                       std::size_t free, const PlacementDemand &demand) const
    {
        if (demand.jobTasks == 1)
            return free > 0 ? std::min(free, freeOffers) : fullOffers;
        std::size_t freeSlots = 0;
        for (std::size_t i = 0; i < free; ++i) {
            // Hints lag, so there must be twice as many free slots as tasks.
            freeSlots += peers.find(agents[i])->load.freeSlots;
            if (freeSlots >= std::size_t(2) * demand.tasks)
                return i + 1;
        }
        return limit;
    }
};
static_assert(PlacementPolicy<LoadAwarePlacement>);

} // namespace Bluebellquay
