// Decides which addresses an agent dials: the entries in its settings, and the processes in the
// directories that the entries send.
#pragma once

#include "base/messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay {

// Addresses that the PeerNode has to start or to stop dialling after a change of the plan.
struct LinkChanges
{
    std::vector<std::string> dial;
    std::vector<std::string> forget;
};

class LinkPlan
{
public:
    LinkPlan(Incarnation self, const std::vector<std::string> &configuredEntries);

    // Replaces the directory that this entry sent earlier, and returns the resulting changes.
    LinkChanges update(Incarnation entry, const Directory &directory);
    // Drops the directory of an entry whose link is down. Its processes stay dialled if another
    // entry or the settings name them. The last directory of all is kept, so that agents stay
    // linked to each other while every entry is away.
    LinkChanges dropEntry(Incarnation entry);

    const std::set<std::string> &addresses() const { return m_addresses; }

private:
    LinkChanges recompute();
    bool shouldDial(const ProcessInfo &process) const;

    Incarnation m_self;
    std::set<std::string> m_configuredEntries;
    std::map<Incarnation, Directory> m_directories;
    // All addresses to dial; always contains m_configuredEntries.
    std::set<std::string> m_addresses;
};

} // namespace Bluebellquay
