#include "core/processdirectory.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// Longer chains of planned stops within the lifetime of a record are not plausible.
constexpr int MaxSuccessionChain = 32;

bool acceptsNewIds(const KnownProcess &process)
{
    return process.linked && process.heartbeatReceived && process.info.role == ProcessRole::Agent
        && process.info.state == AgentState::Serving;
}

} // namespace

ProcessDirectory::ProcessDirectory(ProcessInfo self)
    : m_self(std::move(self))
{ }

std::vector<Incarnation> ProcessDirectory::linkUp(TimePoint now, const ProcessInfo &peer)
{
    std::vector<Incarnation> replaced;
    const auto replace = [&](const std::unordered_map<std::string, Incarnation> &index,
                             const std::string &key) {
        const auto position = index.find(key);
        if (position != index.end() && position->second != peer.incarnation)
            markReplaced(now, position->second, replaced);
    };
    replace(m_byName, peer.name);
    replace(m_byAddress, peer.address);
    m_byName[peer.name] = peer.incarnation;
    m_byAddress[peer.address] = peer.incarnation;

    KnownProcess &process = m_processes[peer.incarnation];
    if (process.info != peer || !process.inDirectory)
        changed();
    process.info = peer;
    process.linked = true;
    process.heartbeatReceived = false;
    process.inDirectory = true;
    process.gone = false;
    process.goneSince.reset();
    process.issuedSinceHeartbeat = 0;
    servingChanged();
    return replaced;
}

void ProcessDirectory::markReplaced(TimePoint now, Incarnation candidate,
                                    std::vector<Incarnation> &replaced)
{
    KnownProcess *process = findMutable(candidate);
    if (process == nullptr || process->linked || process->gone)
        return;
    markGone(now, *process);
    replaced.push_back(candidate);
}

void ProcessDirectory::linkDown(TimePoint now, Incarnation peer)
{
    KnownProcess *process = findMutable(peer);
    if (process == nullptr || !process->linked)
        return;
    process->linked = false;
    process->heartbeatReceived = false;
    process->unlinkedSince = now;
    servingChanged();
}

void ProcessDirectory::heartbeat(TimePoint now, Incarnation peer, const Heartbeat &heartbeat)
{
    KnownProcess *process = findMutable(peer);
    if (process == nullptr || !process->linked)
        return;
    const bool acceptedNewIds = acceptsNewIds(*process);
    process->heartbeatReceived = true;
    process->issuePeriod = heartbeat.issuePeriod;
    process->configVersion = heartbeat.configVersion;
    process->load = heartbeat.load;
    process->issuedSinceHeartbeat = 0;
    if (process->info.state != heartbeat.state) {
        process->info.state = heartbeat.state;
        if (heartbeat.state == AgentState::Gone)
            process->goneSince = now;
        changed();
    }
    if (acceptsNewIds(*process) != acceptedNewIds)
        servingChanged();
}

bool ProcessDirectory::addSuccession(TimePoint now, const Succession &succession)
{
    if (succession.gone == succession.successor || m_successors.contains(succession.gone))
        return false;
    // A chain that leads back to the stopped home would have no end.
    Incarnation last = succession.successor;
    for (int i = 0; i < MaxSuccessionChain; ++i) {
        const auto next = m_successors.find(last);
        if (next == m_successors.end())
            break;
        last = next->second;
        if (last == succession.gone)
            return false;
    }
    m_successors.emplace(succession.gone, succession.successor);
    const auto [position, isNew] = m_processes.try_emplace(succession.gone);
    KnownProcess &process = position->second;
    if (isNew) {
        process.info.incarnation = succession.gone;
        process.unlinkedSince = now;
    }
    process.info.state = AgentState::Gone;
    if (!process.goneSince)
        process.goneSince = now;
    changed();
    servingChanged();
    return true;
}

void ProcessDirectory::setEntries(std::vector<ProcessInfo> entries)
{
    if (m_entries == entries)
        return;
    m_entries = std::move(entries);
    changed();
}

std::vector<Incarnation> ProcessDirectory::expire(TimePoint now)
{
    std::vector<Incarnation> gone;
    for (auto position = m_processes.begin(); position != m_processes.end();) {
        if (!expireProcess(now, position->second, gone)) {
            ++position;
            continue;
        }
        const auto isForgotten = [&](const auto &item) { return item.second == position->first; };
        std::erase_if(m_byName, isForgotten);
        std::erase_if(m_byAddress, isForgotten);
        m_successors.erase(position->first);
        position = m_processes.erase(position);
        changed();
    }
    return gone;
}

bool ProcessDirectory::expireProcess(TimePoint now, KnownProcess &process,
                                     std::vector<Incarnation> &gone)
{
    if (process.linked)
        return false;
    const bool successorTimedOut = process.info.state == AgentState::Gone && process.goneSince
        && now >= *process.goneSince + SuccessorTimeout;
    if (successorTimedOut && !process.gone) {
        markGone(now, process);
        gone.push_back(process.info.incarnation);
    }
    // A home that lost its link leaves the directory without any other event.
    if (process.inDirectory && now >= process.unlinkedSince + DirectoryRetention) {
        process.inDirectory = false;
        changed();
    }
    return now >= process.unlinkedSince + ProcessRetention;
}

const std::vector<KnownProcess *> &ProcessDirectory::serving()
{
    if (m_builtServingRevision == m_servingRevision)
        return m_serving;
    m_serving.clear();
    for (auto &[incarnation, process] : m_processes) {
        if (acceptsNewIds(process))
            m_serving.push_back(&process);
    }
    m_builtServingRevision = m_servingRevision;
    return m_serving;
}

Route ProcessDirectory::route(Incarnation home) const
{
    Incarnation target = home;
    for (int i = 0; i < MaxSuccessionChain; ++i) {
        const auto next = m_successors.find(target);
        if (next == m_successors.end())
            break;
        target = next->second;
    }
    const KnownProcess *process = find(target);
    if (process == nullptr)
        return {target == home ? RouteKind::NeverSeen : RouteKind::Unlinked, target};
    if (process->linked)
        return {RouteKind::Linked, target};
    return {process->gone ? RouteKind::Gone : RouteKind::Unlinked, target};
}

const KnownProcess *ProcessDirectory::find(Incarnation process) const
{
    const auto position = m_processes.find(process);
    return position == m_processes.end() ? nullptr : &position->second;
}

KnownProcess *ProcessDirectory::findMutable(Incarnation process)
{
    const auto position = m_processes.find(process);
    return position == m_processes.end() ? nullptr : &position->second;
}

const KnownProcess *ProcessDirectory::findAgent(std::string_view name) const
{
    const KnownProcess *found = nullptr;
    for (const auto &[incarnation, process] : m_processes) {
        if (!process.linked || process.info.role != ProcessRole::Agent || process.info.name != name)
            continue;
        if (found == nullptr || process.info.state < found->info.state)
            found = &process;
    }
    return found;
}

std::vector<Incarnation> ProcessDirectory::goneSince(TimePoint since) const
{
    std::vector<Incarnation> gone;
    for (const auto &[incarnation, process] : m_processes) {
        if (process.goneSince && *process.goneSince >= since)
            gone.push_back(incarnation);
    }
    return gone;
}

void ProcessDirectory::forEachLinkedAgent(
    const std::function<void(const KnownProcess &)> &visit) const
{
    for (const auto &[incarnation, process] : m_processes) {
        if (process.linked && process.info.role == ProcessRole::Agent)
            visit(process);
    }
}

const std::shared_ptr<const Message> &ProcessDirectory::message() const
{
    if (m_message && m_messageRevision == m_revision)
        return m_message;
    Directory directory;
    directory.processes = m_entries;
    directory.processes.push_back(m_self);
    for (const auto &[incarnation, process] : m_processes) {
        if (process.inDirectory && !process.gone)
            directory.processes.push_back(process.info);
    }
    for (const auto &[gone, successor] : m_successors)
        directory.successions.push_back({gone, successor});
    m_message = std::make_shared<const Message>(std::move(directory));
    m_messageRevision = m_revision;
    return m_message;
}

void ProcessDirectory::markGone(TimePoint now, KnownProcess &process)
{
    process.gone = true;
    process.info.state = AgentState::Gone;
    if (!process.goneSince)
        process.goneSince = now;
    changed();
}

} // namespace Bluebellquay
