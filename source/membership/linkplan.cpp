#include "membership/linkplan.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Bluebellquay {

namespace {

// Takes entries from an ordered list until it has a given number of reachable ones.
class Selection
{
public:
    explicit Selection(std::vector<const LinkCandidate *> order)
        : m_order(std::move(order))
    { }

    // Takes up to this many reachable entries more, and at most as many others on the way. Returns
    // how many reachable ones are missing.
    std::size_t take(std::size_t wanted, std::set<std::string> &names)
    {
        std::size_t unreachable = wanted;
        for (; wanted > 0 && m_next < m_order.size(); ++m_next) {
            const LinkCandidate &candidate = *m_order[m_next];
            if (candidate.reachable)
                --wanted;
            else if (unreachable == 0)
                continue;
            else
                --unreachable;
            names.insert(candidate.name);
        }
        return wanted;
    }

private:
    std::vector<const LinkCandidate *> m_order;
    std::size_t m_next = 0;
};

} // namespace

LinkPlan::LinkPlan(std::string agent, std::string dataCentre, LinkPlanSettings settings)
    : m_agent(std::move(agent))
    , m_dataCentre(std::move(dataCentre))
    , m_settings(settings)
{ }

std::set<std::string> LinkPlan::choose(const std::vector<LinkCandidate> &candidates) const
{
    Selection near(nearOrder(candidates));
    Selection far(farOrder(candidates));
    std::set<std::string> names;
    const std::size_t nearMissing = near.take(m_settings.near, names);
    const std::size_t farMissing = far.take(m_settings.far + nearMissing, names);
    near.take(farMissing, names);
    return names;
}

std::uint64_t LinkPlan::weight(const std::string &name) const
{
    return XXH3_64bits_withSeed(name.data(), name.size(),
                                XXH3_64bits(m_agent.data(), m_agent.size()));
}

LinkPlan::Order LinkPlan::nearOrder(const std::vector<LinkCandidate> &candidates) const
{
    std::map<std::pair<std::uint64_t, std::string>, const LinkCandidate *> byWeight;
    for (const LinkCandidate &candidate : candidates) {
        if (candidate.dataCentre == m_dataCentre)
            byWeight[{weight(candidate.name), candidate.name}] = &candidate;
    }
    Order order;
    for (const auto &[key, candidate] : byWeight)
        order.push_back(candidate);
    return order;
}

LinkPlan::Order LinkPlan::farOrder(const std::vector<LinkCandidate> &candidates) const
{
    std::map<std::string, std::vector<const LinkCandidate *>> byCentre;
    for (const LinkCandidate &candidate : candidates) {
        if (candidate.dataCentre != m_dataCentre)
            byCentre[candidate.dataCentre].push_back(&candidate);
    }
    // Round robin over the data centres: the n-th choice of each data centre comes before any
    // (n+1)-th choice. A hash with the agent's name orders the data centres within a round.
    using Place = std::pair<std::size_t, std::uint64_t>;
    std::map<std::pair<Place, std::string>, const LinkCandidate *> byPlace;
    for (auto &[centre, members] : byCentre) {
        std::sort(members.begin(), members.end(), [this](const auto *first, const auto *second) {
            return std::pair(weight(first->name), first->name)
                < std::pair(weight(second->name), second->name);
        });
        for (std::size_t round = 0; round < members.size(); ++round)
            byPlace[{Place{round, weight(centre)}, centre}] = members[round];
    }
    Order order;
    for (const auto &[place, candidate] : byPlace)
        order.push_back(candidate);
    return order;
}

} // namespace Bluebellquay
