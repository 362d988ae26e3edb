#include "core/workerregistry.h"

#include <algorithm>

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
    WorkerRecord &record = m_records[agent.incarnation];
    record.agent = agent;
    record.linked = true;
    m_unlinked.erase(agent.incarnation);
    record.room.reset();
    record.pending.clear();
    record.pendingNeed = ResourceNeed();
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

bool WorkerRegistry::updateRoom(Incarnation agent, const WorkerRoom &room)
{
    const auto position = m_records.find(agent);
    if (position == m_records.end())
        return false;
    WorkerRecord &record = position->second;
    if (record.room && record.room->sequence > room.sequence)
        return false;
    record.room = room;
    while (!record.pending.empty() && record.pending.front().order <= room.lastOrder) {
        const ResourceNeed &need = record.pending.front().need;
        record.pendingNeed.milliProcessors -= need.milliProcessors;
        record.pendingNeed.memoryBytes -= need.memoryBytes;
        record.pendingNeed.accelerators -= need.accelerators;
        record.pending.pop_front();
    }
    return true;
}

OrderNumber WorkerRegistry::recordOrder(Incarnation agent, const ResourceNeed &need)
{
    WorkerRecord &record = m_records.at(agent);
    record.lastOrder = record.lastOrder.next();
    record.pending.push_back({record.lastOrder, need});
    record.pendingNeed.milliProcessors += need.milliProcessors;
    record.pendingNeed.memoryBytes += need.memoryBytes;
    record.pendingNeed.accelerators += need.accelerators;
    return record.lastOrder;
}

const WorkerRecord *WorkerRegistry::find(Incarnation agent) const
{
    const auto position = m_records.find(agent);
    return position == m_records.end() ? nullptr : &position->second;
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
        const WorkerRecord &record = item.second;
        return record.usable(service) && record.hasLabel(label);
    });
}

std::string_view WorkerRegistry::nameOf(Incarnation agent) const
{
    const WorkerRecord *record = find(agent);
    return record != nullptr ? record->agent.name : std::string_view();
}

bool WorkerRegistry::anyReported() const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [](const auto &item) { return item.second.linked && item.second.room; });
}

bool WorkerRegistry::anyLargeEnough(const std::string &service, const ResourceNeed &need) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &item) {
        const WorkerRecord &record = item.second;
        return record.room && record.room->service == service
            && need.milliProcessors <= record.room->total.milliProcessors
            && need.memoryBytes <= record.room->total.memoryBytes
            && need.accelerators <= record.room->total.accelerators;
    });
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
    for (const auto &[incarnation, record] : m_records) {
        if (record.usable(service))
            total += record.room->total.milliProcessors;
    }
    return total;
}

double WorkerRegistry::sharedMilliProcessors(const std::string &service) const
{
    double total = 0;
    for (const auto &[incarnation, record] : m_records) {
        if (record.usable(service))
            total += static_cast<double>(record.room->total.milliProcessors)
                / std::max<std::uint32_t>(1, record.room->homes);
    }
    return total;
}

} // namespace Bluebellquay
