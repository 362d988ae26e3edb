// Which entries an agent links to: a few of its own data centre and a few of others, so that the
// links, heartbeats and reports of one process don't grow with the size of the system.
//
// Uses rendezvous hashing: each agent orders the entries by a hash of both names and takes the
// first ones. Agents need no coordination, no two agents need choose the same entries, and an entry
// that is added or removed changes only the links of the agents that choose it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay {

struct LinkCandidate
{
    std::string name;
    std::string dataCentre;
    // False if connecting to it has failed for some time; EntryLinks decides for how long.
    bool reachable = true;
};

struct LinkPlanSettings
{
    // Number of entries to choose from the agent's own data centre, and from all others together.
    // If one group has too few, more are chosen from the other.
    std::size_t near = 5;
    std::size_t far = 3;
};

class LinkPlan
{
public:
    LinkPlan(std::string agent, std::string dataCentre, LinkPlanSettings settings = {});

    // Names of the entries to keep a link to: as many reachable ones as the settings say, and at
    // most as many others that go before them, which are to be dialled until they answer.
    std::set<std::string> choose(const std::vector<LinkCandidate> &candidates) const;

private:
    using Order = std::vector<const LinkCandidate *>;

    std::uint64_t weight(const std::string &name) const;
    Order nearOrder(const std::vector<LinkCandidate> &candidates) const;
    // One entry of each other data centre in turn, so that the loss of one costs few links.
    Order farOrder(const std::vector<LinkCandidate> &candidates) const;

    std::string m_agent;
    std::string m_dataCentre;
    LinkPlanSettings m_settings;
};

} // namespace Bluebellquay
