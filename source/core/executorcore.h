// Executes tasks on the upstream of this agent: queues the offers of homes as reservations, pulls
// tasks when slots are free, starts each task once, and repeats the report of its result until the
// home acknowledges it.
// docs/design.md, section 2, states the invariants E1 and E2.
#pragma once

#include "core/agentcore.h"
#include "core/capacitytracker.h"
#include "core/corestatistics.h"
#include "core/failurequarantine.h"
#include "core/peertable.h"
#include "core/slotshares.h"
#include "core/taskqueue.h"
#include "core/taskregistry.h"
#include "core/timerheap.h"

#include <map>
#include <memory>
#include <optional>

namespace Bluebellquay {

class ExecutorCore
{
public:
    ExecutorCore(const AgentCoreSettings &settings, CoreStatistics &statistics,
                 const PeerTable &peers);

    void handle(TimePoint now, Incarnation from, Reserve message, Outbox &out);
    void handle(TimePoint now, Incarnation from, Bind message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const Withdraw &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const ResultAck &message, Outbox &out);
    void handle(TimePoint now, Incarnation from, const TaskQuery &message, Outbox &out);

    void homeUp(TimePoint now, Incarnation home, Outbox &out);
    void homeDown(Incarnation home);
    // The home has been out of reach for so long that it has given up its bindings.
    void homeLost(Incarnation home);

    void announced(TimePoint now, const UpstreamCapacity &capacity, Outbox &out);
    void leave();
    void silent();
    void finished(TimePoint now, const TaskKey &task, TaskOutcome outcome, Outbox &out);
    void notStarted(TimePoint now, const TaskKey &task, Outbox &out);
    void lost(TimePoint now, const TaskKey &task, Outbox &out);

    // Takes no tasks while the rules say that the agent's data centre is evacuated. Once it is
    // taken back, the next announcement of the upstream makes the agent serve again.
    void setRules(std::shared_ptr<const RuleSet> rules);
    // Begins a planned stop, which can't be undone: the agent takes no further tasks.
    void beginStop();

    void advance(TimePoint now, Outbox &out);
    std::optional<TimePoint> nextWakeup() const;

    AgentState state() const { return m_state; }
    AgentLoad load() const;
    // True if no task runs and every connected home has acknowledged all results.
    bool idle() const;
    std::size_t registrySize() const { return m_registry.size(); }
    std::size_t queueSize() const { return m_queue.size(); }
    std::size_t outstandingPulls() const { return m_pulls.size(); }

private:
    struct OutstandingPull
    {
        SubmissionId submission;
        std::uint32_t maxTasks = 1;
        // The offer that was pulled; the reservation may be gone when the answer arrives.
        Reserve offer;
    };
    using PullMap = std::map<PullNumber, OutstandingPull>;

    // Pulls for all free slots.
    void fillSlots(TimePoint now, Outbox &out);
    bool pullOne(TimePoint now, Outbox &out);
    std::uint32_t pullable(const Reservation &reservation) const;
    // Ends an outstanding pull; a Bind that answers it later is discarded.
    void endPull(PullMap::iterator position);
    template <typename Predicate>
    void abandonPulls(Predicate predicate);
    void startTask(TimePoint now, const TaskKey &key, BoundTask task, const OutstandingPull &pull,
                   Outbox &out);
    void discardBind(TimePoint now, Incarnation from, const Bind &message, Outbox &out);
    void releaseSlot(const TaskKey &key);
    // Sends the result or the state of a task and schedules its repetition.
    void report(TimePoint now, const TaskKey &key, Outbox &out);

    AgentCoreSettings m_settings;
    CoreStatistics &m_statistics;
    const PeerTable &m_peers;
    AgentState m_state = AgentState::Starting;
    bool m_stopping = false;
    bool m_evacuated = false;
    // Incarnation of the upstream that announced itself last.
    std::uint64_t m_upstream = 0;
    // Slots that long work may not use, as of the last pull.
    std::uint32_t m_reservedSlots = 0;
    CapacityTracker m_capacity;
    SlotShares m_shares;
    TaskQueue m_queue;
    TaskRegistry m_registry;
    FailureQuarantine m_quarantine;
    // Number of the last pull; numbers are never reused by this incarnation.
    PullNumber m_lastPull;
    // Each pull is removed by the first Bind that answers it (invariant E1). Slots are allocated
    // for its tasks until then.
    PullMap m_pulls;
    TimePoint m_lastFill{};
    TimerHeap<PullNumber> m_pullTimers;
    TimerHeap<TaskKey> m_reportTimers;
};

} // namespace Bluebellquay
