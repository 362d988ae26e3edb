#include "core/workerregistry.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

bool WorkerRecord::fits(const ResourceNeed &need) const
{
    // One run decides whether a worker on probation is accepted, so no second run is sent.
    if (room->probation && !pending.empty())
        return false;
    return freeMilliProcessors() >= static_cast<std::int64_t>(need.milliProcessors)
        && room->free.memoryBytes >= pendingNeed.memoryBytes + need.memoryBytes
        && room->free.accelerators >= pendingNeed.accelerators + need.accelerators;
}

bool WorkerRecord::hasLabel(const std::string &label) const
{
    return std::find(room->labels.begin(), room->labels.end(), label) != room->labels.end();
}

void WorkerRegistry::linkUp(const ProcessInfo &agent)
{
    WorkerRecord &entry = m_records[agent.incarnation];
    entry.agent = agent;
    entry.linked = true;
    entry.evacuated = m_evacuated.contains(agent.dataCentre);
    m_unlinked.erase(agent.incarnation);
    entry.room.reset();
    entry.pending.clear();
    entry.pendingNeed = ResourceNeed();
}

void WorkerRegistry::linkDown(TimePoint now, Incarnation agent)
{
    const auto position = m_records.find(agent);
    if (position == m_records.end())
        return;
    position->second.linked = false;
    position->second.unlinkedSince = now;
    m_unlinked.insert(agent);
}

void WorkerRegistry::remove(Incarnation agent)
{
    m_records.erase(agent);
    m_unlinked.erase(agent);
}

void WorkerRegistry::setEvacuated(std::set<std::string> dataCentres)
{
    m_evacuated = std::move(dataCentres);
    for (auto &[incarnation, record] : m_records)
        record.evacuated = m_evacuated.contains(record.agent.dataCentre);
}

bool WorkerRegistry::updateRoom(Incarnation agent, const WorkerRoom &room)
{
    const auto position = m_records.find(agent);
    if (position == m_records.end())
        return false;
    WorkerRecord &entry = position->second;
    if (entry.room && entry.room->sequence > room.sequence)
        return false;
    entry.room = room;
    while (!entry.pending.empty() && entry.pending.front().order <= room.lastOrder) {
        const ResourceNeed &need = entry.pending.front().need;
        entry.pendingNeed.milliProcessors -= need.milliProcessors;
        entry.pendingNeed.memoryBytes -= need.memoryBytes;
        entry.pendingNeed.accelerators -= need.accelerators;
        entry.pending.pop_front();
    }
    return true;
}

OrderNumber WorkerRegistry::recordOrder(Incarnation agent, const ResourceNeed &need)
{
    WorkerRecord &entry = m_records.at(agent);
    entry.lastOrder = entry.lastOrder.next();
    entry.pending.push_back({entry.lastOrder, need});
    entry.pendingNeed.milliProcessors += need.milliProcessors;
    entry.pendingNeed.memoryBytes += need.memoryBytes;
    entry.pendingNeed.accelerators += need.accelerators;
    return entry.lastOrder;
}

const WorkerRecord *WorkerRegistry::find(Incarnation agent) const
{
    const auto position = m_records.find(agent);
    return position == m_records.end() ? nullptr : &position->second;
}

std::vector<Incarnation> WorkerRegistry::replacedBy(Incarnation agent) const
{
    const std::string &name = m_records.at(agent).agent.name;
    std::vector<Incarnation> replaced;
    for (const Incarnation other : m_unlinked) {
        if (other != agent && m_records.at(other).agent.name == name)
            replaced.push_back(other);
    }
    return replaced;
}

void WorkerRegistry::addMissingLabels(const std::string &service, const KeyedStep &step,
                                      std::set<std::string> &missing) const
{
    if (!step.requiredLabel.empty() && !anyHasLabel(service, step.requiredLabel))
        missing.insert(step.requiredLabel);
    if (step.need.accelerators > 0 && !anyLargeEnough(service, step.need))
        missing.insert(AcceleratorLabel);
}

bool WorkerRegistry::anyHasLabel(const std::string &service, const std::string &label) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &item) {
        const WorkerRecord &entry = item.second;
        return entry.usable(service) && entry.hasLabel(label);
    });
}

std::string_view WorkerRegistry::nameOf(Incarnation agent) const
{
    const WorkerRecord *entry = find(agent);
    return entry != nullptr ? entry->agent.name : std::string_view();
}

bool WorkerRegistry::anyReported() const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [](const auto &item) { return item.second.linked && item.second.room; });
}

bool WorkerRegistry::anyLargeEnough(const std::string &service, const ResourceNeed &need) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &item) {
        const WorkerRecord &entry = item.second;
        return entry.room && entry.room->service == service
            && need.milliProcessors <= entry.room->total.milliProcessors
            && need.memoryBytes <= entry.room->total.memoryBytes
            && need.accelerators <= entry.room->total.accelerators;
    });
}

bool WorkerRegistry::allEvacuated(const std::string &service) const
{
    bool any = false;
    for (const auto &[incarnation, record] : m_records) {
        if (!record.linked || !record.room || record.room->service != service)
            continue;
        if (!record.evacuated)
            return false;
        any = true;
    }
    return any;
}

std::vector<std::string> WorkerRegistry::agentNames(const std::string &service) const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, record] : m_records) {
        if (record.linked && record.room && record.room->service == service)
            names.push_back(record.agent.name);
    }
    return names;
}

std::size_t WorkerRegistry::usableWorkers(const std::string &service) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [&](const auto &item) { return item.second.usable(service); }));
}

std::uint64_t WorkerRegistry::totalMilliProcessors(const std::string &service) const
{
    std::uint64_t total = 0;
    for (const auto &[incarnation, entry] : m_records) {
        if (entry.usable(service))
            total += entry.room->total.milliProcessors;
    }
    return total;
}

double WorkerRegistry::sharedMilliProcessors(const std::string &service) const
{
    double total = 0;
    for (const auto &[incarnation, entry] : m_records) {
        if (entry.usable(service))
            total += entry.sharedMilliProcessors();
    }
    return total;
}

} // namespace Bluebellquay
