// Registry of the agents and the free resources of their workers as one home knows them: the latest
// report of each agent, minus the orders that were sent after it.
#pragma once

#include "base/messages.h"
#include "core/keyedjob.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// State of one agent and the worker that it drives.
struct WorkerRecord
{
    // An order that the latest report does not include.
    struct PendingOrder
    {
        OrderNumber order;
        ResourceNeed need;
    };

    ProcessInfo agent;
    bool linked = false;
    // Whether the agent's data centre is evacuated: no work is started there.
    bool evacuated = false;
    // Valid while the agent is not linked.
    TimePoint unlinkedSince{};
    // Latest report; empty until the first report after the link came up.
    std::optional<WorkerRoom> room;
    // Number of the last order sent to the agent.
    OrderNumber lastOrder;
    // In ascending order of their numbers.
    std::deque<PendingOrder> pending;
    // Sum of the needs in `pending`.
    ResourceNeed pendingNeed;

    // Free processors in thousandths; negative if the orders exceed the reported room. Requires a
    // report, as do fits, hasLabel and predicted.
    std::int64_t freeMilliProcessors() const
    {
        return static_cast<std::int64_t>(room->free.milliProcessors)
            - static_cast<std::int64_t>(pendingNeed.milliProcessors);
    }
    // Whether the worker takes orders for the service.
    bool usable(const std::string &service) const
    {
        return linked && !evacuated && room && room->accepting && room->service == service;
    }
    // Processors in thousandths, divided by the number of homes that share the worker.
    double sharedMilliProcessors() const
    {
        return static_cast<double>(room->total.milliProcessors)
            / std::max<std::uint32_t>(1, room->homes);
    }
    // Whether the need fits into the free resources. A worker on probation gets one run at a time.
    bool fits(const ResourceNeed &need) const;
    // Labels include the kind of the worker and its rack.
    bool hasLabel(const std::string &label) const;
    // Run time on this worker of a task that takes `expected` on a worker of ordinary speed.
    Duration predicted(Duration expected) const
    {
        return expected * room->slowdownPermille / OrdinaryPermille;
    }

    // Value of WorkerRoom::slowdownPermille for a worker of ordinary speed.
    static constexpr int OrdinaryPermille = 1000;
};

class WorkerRegistry
{
public:
    using Records = std::map<Incarnation, WorkerRecord>;

    // Registers the agent, or marks it as linked again. Its report and pending orders are
    // discarded.
    void linkUp(const ProcessInfo &agent);
    // Marks the agent as not linked; its record stays until remove() is called.
    void linkDown(TimePoint now, Incarnation agent);
    void remove(Incarnation agent);
    // Replaces the set of data centres in which no work may be started.
    void setEvacuated(std::set<std::string> dataCentres);
    // Stores a report and drops the pending orders that it includes. Returns false, and stores
    // nothing, if the agent is not known or the report is older than the stored one.
    bool updateRoom(Incarnation agent, const WorkerRoom &room);
    // Subtracts the need from the free resources of a known agent until a report includes the
    // order. Returns the number of the order.
    OrderNumber recordOrder(Incarnation agent, const ResourceNeed &need);

    // Returns null if the agent is not known.
    const WorkerRecord *find(Incarnation agent) const;
    // Name of the agent; empty if it is not known.
    std::string_view nameOf(Incarnation agent) const;
    // Whether any linked agent has reported its worker.
    bool anyReported() const;
    const Records &records() const { return m_records; }
    // Earlier incarnations of the same agent that have no link and have not been removed yet. The
    // agent must be known.
    std::vector<Incarnation> replacedBy(Incarnation agent) const;
    // Adds to `missing` the labels, and AcceleratorLabel, that the step requires and no worker of
    // the service has.
    void addMissingLabels(const std::string &service, const KeyedStep &step,
                          std::set<std::string> &missing) const;
    // Whether any worker of the service could hold the need if it were idle.
    bool anyLargeEnough(const std::string &service, const ResourceNeed &need) const;
    // Whether all linked workers of the service are in evacuated data centres. False while none is
    // linked: workers may be linked soon.
    bool allEvacuated(const std::string &service) const;
    // Names of the linked agents that have reported a worker of the service.
    std::vector<std::string> agentNames(const std::string &service) const;
    // Number of linked workers of the service that take orders.
    std::size_t usableWorkers(const std::string &service) const;
    // Processors of all linked workers of the service that take orders, in thousandths.
    std::uint64_t totalMilliProcessors(const std::string &service) const;
    // The same sum with the processors of each worker divided by the number of homes that share it.
    double sharedMilliProcessors(const std::string &service) const;

private:
    bool anyHasLabel(const std::string &service, const std::string &label) const;

    Records m_records;
    std::set<Incarnation> m_unlinked;
    std::set<std::string> m_evacuated;
};

} // namespace Bluebellquay
