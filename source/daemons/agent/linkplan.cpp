#include "daemons/agent/linkplan.h"

#include <algorithm>
#include <iterator>

namespace Bluebellquay {

LinkPlan::LinkPlan(Incarnation self, const std::vector<std::string> &configuredEntries)
    : m_self(self)
    , m_configuredEntries(configuredEntries.begin(), configuredEntries.end())
    , m_addresses(m_configuredEntries)
{ }

LinkChanges LinkPlan::update(Incarnation entry, const Directory &directory)
{
    m_directories[entry] = directory;
    return recompute();
}

LinkChanges LinkPlan::dropEntry(Incarnation entry)
{
    if (m_directories.size() <= 1)
        return {};
    m_directories.erase(entry);
    return recompute();
}

LinkChanges LinkPlan::recompute()
{
    std::set<std::string> wanted = m_configuredEntries;
    for (const auto &[entry, directory] : m_directories) {
        for (const ProcessInfo &process : directory.processes) {
            if (shouldDial(process))
                wanted.insert(process.address);
        }
    }
    LinkChanges changes;
    std::set_difference(wanted.begin(), wanted.end(), m_addresses.begin(), m_addresses.end(),
                        std::back_inserter(changes.dial));
    std::set_difference(m_addresses.begin(), m_addresses.end(), wanted.begin(), wanted.end(),
                        std::back_inserter(changes.forget));
    m_addresses = std::move(wanted);
    return changes;
}

// Of two agents, only the one with the smaller incarnation dials, so that each pair has one link.
bool LinkPlan::shouldDial(const ProcessInfo &process) const
{
    if (process.incarnation == m_self || process.state == AgentState::Gone)
        return false;
    return process.role == ProcessRole::Entry || m_self < process.incarnation;
}

} // namespace Bluebellquay
