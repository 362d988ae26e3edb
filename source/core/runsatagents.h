// Runs of one home that may still be at an agent: ordered from it, and not known to have ended.
#pragma once

#include "base/messages.h"

#include <map>
#include <set>
#include <vector>

namespace Bluebellquay {

class RunsAtAgents
{
public:
    void add(Incarnation agent, const RunKey &run) { m_runs[agent].insert(run); }
    // Returns whether the run was at the agent.
    bool remove(Incarnation agent, const RunKey &run)
    {
        const auto runs = m_runs.find(agent);
        if (runs == m_runs.end() || runs->second.erase(run) == 0)
            return false;
        if (runs->second.empty())
            m_runs.erase(runs);
        return true;
    }
    // In ascending order.
    std::vector<RunKey> at(Incarnation agent) const
    {
        const auto runs = m_runs.find(agent);
        return runs != m_runs.end() ? std::vector<RunKey>(runs->second.begin(), runs->second.end())
                                    : std::vector<RunKey>();
    }

private:
    std::map<Incarnation, std::set<RunKey>> m_runs;
};

} // namespace Bluebellquay
