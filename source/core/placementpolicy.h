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

// Offers to every agent up to a limit, above it to a random subset.
struct SitePlacement
{
    std::size_t limit = 32;

    std::vector<Incarnation> select(const PeerTable & /*peers*/,
                                    const std::vector<Incarnation> &candidates,
                                    const PlacementDemand & /*demand*/,
                                    std::mt19937_64 &random) const
    {
        if (candidates.size() <= limit)
            return candidates;
        std::vector<Incarnation> subset;
        std::sample(candidates.begin(), candidates.end(), std::back_inserter(subset), limit,
                    random);
        return subset;
    }
};
static_assert(PlacementPolicy<SitePlacement>);

} // namespace Bluebellquay
