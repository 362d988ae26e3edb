#include "core/peertable.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

bool serves(const Peer &peer)
{
    return peer.up && peer.info.role == ProcessRole::Agent
        && peer.info.state == AgentState::Serving;
}

} // namespace

void PeerTable::connect(const ProcessInfo &peer)
{
    Peer &entry = m_peers[peer.incarnation];
    entry.info = peer;
    entry.up = true;
}

void PeerTable::disconnect(TimePoint now, Incarnation peer)
{
    const auto position = m_peers.find(peer);
    if (position == m_peers.end() || !position->second.up)
        return;
    position->second.up = false;
    position->second.loadKnown = false;
    position->second.downSince = now;
}

bool PeerTable::applyHeartbeat(Incarnation peer, const Heartbeat &heartbeat)
{
    const auto position = m_peers.find(peer);
    if (position == m_peers.end() || position->second.info.role != ProcessRole::Agent)
        return false;
    Peer &entry = position->second;
    const bool served = entry.info.state == AgentState::Serving;
    entry.info.state = heartbeat.state;
    entry.load = heartbeat.load;
    entry.loadKnown = true;
    return entry.up && !served && heartbeat.state == AgentState::Serving;
}

void PeerTable::noteOffered(Incarnation agent, std::uint32_t tasks)
{
    const auto position = m_peers.find(agent);
    if (position != m_peers.end())
        position->second.load.freeSlots -= std::min(position->second.load.freeSlots, tasks);
}

void PeerTable::forget(Incarnation peer)
{
    const auto position = m_peers.find(peer);
    if (position != m_peers.end() && !position->second.up)
        m_peers.erase(position);
}

const Peer *PeerTable::find(Incarnation peer) const
{
    const auto position = m_peers.find(peer);
    return position == m_peers.end() ? nullptr : &position->second;
}

bool PeerTable::isUp(Incarnation peer) const
{
    if (peer == m_self.incarnation)
        return true;
    const Peer *entry = find(peer);
    return entry != nullptr && entry->up;
}

std::vector<Incarnation> PeerTable::servingAgents() const
{
    std::vector<Incarnation> agents;
    for (const auto &[incarnation, peer] : m_peers) {
        if (serves(peer))
            agents.push_back(incarnation);
    }
    return agents;
}

std::size_t PeerTable::servingCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto &entry) { return serves(entry.second); }));
}

std::vector<Incarnation> PeerTable::connectedEntries() const
{
    std::vector<Incarnation> entries;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.up && peer.info.role == ProcessRole::Entry)
            entries.push_back(incarnation);
    }
    return entries;
}

std::vector<Incarnation> PeerTable::olderIncarnations(const ProcessInfo &peer) const
{
    std::vector<Incarnation> runs;
    for (const auto &[incarnation, entry] : m_peers) {
        if (!entry.up && incarnation != peer.incarnation && entry.info.name == peer.name)
            runs.push_back(incarnation);
    }
    return runs;
}

} // namespace Bluebellquay
