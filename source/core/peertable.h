// The other processes as an agent knows them: who is connected, which agents serve, and their last
// load report, which may lag.
#pragma once

#include "base/messages.h"

#include <map>
#include <vector>

namespace Bluebellquay {

struct Peer
{
    ProcessInfo info;
    bool up = false;
    AgentLoad load;
    // False until the first heartbeat; load means nothing before.
    bool loadKnown = false;
    TimePoint downSince{};
};

class PeerTable
{
public:
    explicit PeerTable(ProcessInfo self)
        : m_self(std::move(self))
    { }

    const ProcessInfo &self() const { return m_self; }

    // Adds the peer or marks it as connected again.
    void connect(const ProcessInfo &peer);
    void disconnect(TimePoint now, Incarnation peer);
    // Returns true if the peer is an agent that has just started to serve.
    bool applyHeartbeat(Incarnation peer, const Heartbeat &heartbeat);
    // Work was offered to this agent: it has fewer free slots until its next heartbeat.
    void noteOffered(Incarnation agent, std::uint32_t tasks);
    // Forgets a peer that is not connected.
    void forget(Incarnation peer);

    const Peer *find(Incarnation peer) const;
    // The agent itself is always up.
    bool isUp(Incarnation peer) const;
    // Connected agents that serve, in order of their incarnations; the agent itself is not one.
    std::vector<Incarnation> servingAgents() const;
    std::size_t servingCount() const;
    std::vector<Incarnation> connectedEntries() const;
    // Disconnected incarnations of the process with this name, apart from the given one.
    std::vector<Incarnation> olderIncarnations(const ProcessInfo &peer) const;
    const std::map<Incarnation, Peer> &all() const { return m_peers; }

private:
    ProcessInfo m_self;
    std::map<Incarnation, Peer> m_peers;
};

} // namespace Bluebellquay
