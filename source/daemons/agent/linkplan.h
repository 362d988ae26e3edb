// Which addresses an agent dials: entries from its settings, and what the directories of the
// entries say.
#pragma once

#include "base/messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay {

// Difference between two plans, to be carried out on the PeerNode.
struct LinkChanges
{
    std::vector<std::string> dial;
    std::vector<std::string> forget;
};

class LinkPlan
{
public:
    LinkPlan(Incarnation self, const std::vector<std::string> &fixedEntries);

    // Replaces the directory that this entry sent before.
    LinkChanges update(Incarnation entry, const Directory &directory);
    // The entry's directory counts no more; its processes stay dialled if another entry or the
    // settings name them. The last directory of all is kept, so that agents stay linked to each
    // other while every entry is away.
    LinkChanges dropEntry(Incarnation entry);

    const std::set<std::string> &addresses() const { return m_addresses; }

private:
    LinkChanges recompute();
    bool shouldDial(const ProcessInfo &process) const;

    Incarnation m_self;
    std::set<std::string> m_fixed;
    std::map<Incarnation, Directory> m_directories;
    // What is dialled now; contains m_fixed.
    std::set<std::string> m_addresses;
};

} // namespace Bluebellquay
