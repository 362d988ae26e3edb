// All decisions of one agent: home of submissions (HomeCore) and executor of tasks (ExecutorCore).
// The core does no I/O and reads no clock: the agent process passes in messages and the time, and
// carries out the effects that the core puts into the Outbox.
#pragma once

#include "base/messages.h"
#include "config/ruleset.h"
#include "core/outbox.h"
#include "core/timerheap.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Bluebellquay {

class HomeCore;
class ExecutorCore;
class CoreStatistics;
class PeerTable;

struct AgentCoreSettings
{
    ProcessInfo self;
    Duration issuePeriod{10'000'000};
    std::uint32_t acceptedPeriods = 12;
    std::uint32_t maxRecords = 200'000;
    Duration lostTimeout{10'000'000};
    // Seed of the random choices (jitter, sampling).
    std::uint64_t seed = 0;
};

// What the upstream announced.
struct UpstreamCapacity
{
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t milliProcessors = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t usedMilliProcessors = 0;
    std::uint64_t usedMemoryBytes = 0;
};

// Sizes of the containers of an agent. All but peers fall to zero when the periods have passed and
// nothing new is submitted.
struct CoreMemory
{
    std::size_t records = 0;
    std::size_t activeSubmissions = 0;
    std::size_t waiters = 0;
    std::size_t reservations = 0;
    std::size_t outstandingPulls = 0;
    std::size_t registryEntries = 0;
    std::size_t adoptedHomes = 0;
    std::size_t peers = 0;
};

class AgentCore
{
public:
    // Fails with std::string if a setting is out of range.
    static boost::leaf::result<std::unique_ptr<AgentCore>> create(AgentCoreSettings settings,
                                                                  TimePoint now);
    ~AgentCore();

    // A message of a peer. Messages to the agent itself never leave the core.
    void handle(TimePoint now, Incarnation from, Message message, Outbox &out);
    // Handles the timers that are due. Must be called again at nextWakeup() at the latest.
    void advance(TimePoint now, Outbox &out);
    std::optional<TimePoint> nextWakeup() const;

    void peerUp(TimePoint now, const ProcessInfo &peer, Outbox &out);
    void peerDown(TimePoint now, Incarnation peer, Outbox &out);

    void upstreamAnnounced(TimePoint now, const UpstreamCapacity &capacity, Outbox &out);
    // The upstream leaves: no task is started any more; running ones finish.
    void upstreamLeaving(TimePoint now, Outbox &out);
    // Announcements have stopped. Running tasks may still finish.
    void upstreamSilent(TimePoint now, Outbox &out);
    // End of a StartTask. A task that surely never reached the upstream is reported by
    // taskNotStarted, one of which nothing is known by taskLost.
    void taskFinished(TimePoint now, const TaskKey &task, TaskOutcome outcome, Outbox &out);
    void taskNotStarted(TimePoint now, const TaskKey &task, Outbox &out);
    void taskLost(TimePoint now, const TaskKey &task, Outbox &out);

    void setRules(TimePoint now, ConfigVersion version, std::shared_ptr<const RuleSet> rules,
                  Outbox &out);

    // Planned stop: as upstreamLeaving(), then answers what this agent is home of and hands over.
    void beginStop(TimePoint now, Outbox &out);
    // True if the process may exit: all submissions are answered, no task is left to execute, and
    // the records are handed over or no successor was found in time.
    bool stopped() const;

    // Heartbeat fields except sequence.
    Heartbeat heartbeat(TimePoint now) const;
    AgentState state() const;
    const CoreStatistics &statistics() const;
    // What is held in memory, for metrics and tests.
    CoreMemory memory() const;

private:
    // Action for a peer that has been disconnected for some time.
    enum class AbsenceAction : std::uint8_t { GiveUpBindings, ForgetPeer };
    struct AbsenceTimer
    {
        Incarnation peer;
        AbsenceAction action;
    };

    explicit AgentCore(AgentCoreSettings settings, TimePoint now);

    void begin(TimePoint now);
    void dispatch(TimePoint now, Incarnation from, Message message);
    void connect(TimePoint now, const ProcessInfo &peer);
    void disconnect(TimePoint now, Incarnation peer);
    void absenceDue(TimePoint now, const AbsenceTimer &timer);
    void drain(Incarnation from, const Drain &message);
    // Handles the messages to the agent itself, then moves the effects of the call to the outbox.
    void settle(TimePoint now, Outbox &out);
    void deliverLocal(TimePoint now);
    void syncExecutor();

    AgentCoreSettings m_settings;
    std::unique_ptr<CoreStatistics> m_statistics;
    std::unique_ptr<PeerTable> m_peers;
    std::unique_ptr<HomeCore> m_home;
    std::unique_ptr<ExecutorCore> m_executor;
    TimerHeap<AbsenceTimer> m_absenceTimers;
    // Effects of the call in progress; empty between calls.
    Outbox m_pending;
    ConfigVersion m_configVersion;
    TimePoint m_lastCall{};
    bool m_stopping = false;
};

} // namespace Bluebellquay
