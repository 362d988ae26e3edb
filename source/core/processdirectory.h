// Directory of the processes known to an entry: which are linked, which are serving, which are gone
// and which have a successor.
#pragma once

#include "base/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Bluebellquay {

struct KnownProcess
{
    ProcessInfo info;
    bool linked = false;
    // A heartbeat was received over the current link; the load fields below are valid only then.
    bool heartbeatReceived = false;
    IssuePeriod issuePeriod;
    ConfigVersion configVersion;
    AgentLoad load;
    // Ids issued for this home since its last heartbeat, which its load does not show yet.
    std::uint32_t issuedSinceHeartbeat = 0;
    // Valid only while not linked.
    TimePoint unlinkedSince;
    // Is in the directory that agents get.
    bool inDirectory = false;
    // The process and its records are lost, so no call is sent to it. Implies !linked.
    bool gone = false;
    // When the process was found to be gone or reported so itself.
    std::optional<TimePoint> goneSince;
};

enum class RouteKind : std::uint8_t {
    Linked,
    Unlinked,  // known, but there is no link now
    NeverSeen, // a forged id, or an agent that has not dialled this entry yet
    Gone,
};

struct Route
{
    RouteKind kind = RouteKind::NeverSeen;
    // The process that answers for the home: itself or its last successor.
    Incarnation target;
};

class ProcessDirectory
{
public:
    // A home without a link stays in the directory sent to agents for this long.
    static constexpr Duration DirectoryRetention{30'000'000};
    // A home that reports itself gone names its successor at the same time; if no successor is
    // known after this time, its records are lost.
    static constexpr Duration SuccessorTimeout{5'000'000};
    // Processes without a link are remembered for this long, well above the validity of an id.
    static constexpr Duration ProcessRetention{3'600'000'000};

    explicit ProcessDirectory(ProcessInfo self);

    // Returns incarnations that are now known to be gone because the peer replaces them: same name
    // or same address.
    std::vector<Incarnation> linkUp(TimePoint now, const ProcessInfo &peer);
    void linkDown(TimePoint now, Incarnation peer);
    void heartbeat(TimePoint now, Incarnation peer, const Heartbeat &heartbeat);
    // Returns false if the succession is unusable or known already.
    bool addSuccession(TimePoint now, const Succession &succession);
    // Entries as read from the table; replaces the previous list.
    void setEntries(std::vector<ProcessInfo> entries);
    // Returns homes that are now known to be gone.
    std::vector<Incarnation> expire(TimePoint now);

    Route route(Incarnation home) const;
    const KnownProcess *find(Incarnation process) const;
    // Most recently linked agent of this name; null if none is linked.
    const KnownProcess *findAgent(std::string_view name) const;
    // Agents that may get ids, in no order. Valid until the next change of servingRevision().
    const std::vector<KnownProcess *> &serving();
    std::uint64_t servingRevision() const { return m_servingRevision; }
    // Homes whose unused ids are of no use any more and that were given up after this time.
    std::vector<Incarnation> goneSince(TimePoint since) const;
    void forEachLinkedAgent(const std::function<void(const KnownProcess &)> &visit) const;

    // The directory as agents get it; the same object until something in it changes.
    const std::shared_ptr<const Message> &message() const;
    std::uint64_t revision() const { return m_revision; }

private:
    KnownProcess *findMutable(Incarnation process);
    void markGone(TimePoint now, KnownProcess &process);
    void changed() { ++m_revision; }
    void servingChanged() { ++m_servingRevision; }
    void markReplaced(TimePoint now, Incarnation candidate, std::vector<Incarnation> &replaced);
    // Returns true if the process may be forgotten.
    bool expireProcess(TimePoint now, KnownProcess &process, std::vector<Incarnation> &gone);

    ProcessInfo m_self;
    std::unordered_map<Incarnation, KnownProcess> m_processes;
    std::vector<ProcessInfo> m_entries;
    // From a stopped home to its direct successor; a home has at most one.
    std::unordered_map<Incarnation, Incarnation> m_successors;
    // The latest process of each name and peer address, to notice that one replaces another.
    std::unordered_map<std::string, Incarnation> m_byName;
    std::unordered_map<std::string, Incarnation> m_byAddress;
    // Rebuilt on use, so that many links that come up together cause one rebuild.
    std::vector<KnownProcess *> m_serving;
    std::uint64_t m_servingRevision = 1;
    std::uint64_t m_builtServingRevision = 0;
    std::uint64_t m_revision = 1;
    mutable std::shared_ptr<const Message> m_message;
    mutable std::uint64_t m_messageRevision = 0;
};

} // namespace Bluebellquay
