// A whole site under a virtual clock: real AgentCores, simulated upstreams, entries and links. Used
// by the fault tests and, without faults, by the policy benchmark.
//
// Processes have positions: agents come first, then entries. Links keep the order of frames unless
// a frame is late.
#pragma once

#include "core/agentcore.h"
#include "core/corestatistics.h"
#include "core/virtualclock.h"
#include "core/virtualupstream.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Bluebellquay {

struct SiteOptions
{
    struct AgentPlan
    {
        std::string dataCentre = "north";
        std::uint32_t slots = 8;
    };

    std::vector<AgentPlan> agents = std::vector<AgentPlan>(3);
    std::size_t entries = 2;
    // One-way delays.
    Duration nearDelay{100};
    Duration farDelay{1'000};
    Duration entryDelay{500};
    // Data centre of each entry. Empty: all entries are entryDelay away from all agents.
    std::vector<std::string> entryDataCentres;
    Duration heartbeatInterval{500'000};
    Duration silenceTimeout{2'000'000};
    Duration issuePeriod{10'000'000};
    std::uint32_t acceptedPeriods = 12;
    std::uint32_t maxRecords = 200'000;
    Duration lostTimeout{10'000'000};
    std::uint64_t seed = 1;
    // Share of the frames that are delivered a second time, up to three seconds late.
    double duplicateShare = 0;
    std::shared_ptr<const RuleSet> rules;
    std::function<TaskPlan(const StartTask &task, std::size_t agent)> plan;
    // An upstream started a task.
    std::function<void(const StartTask &task, std::size_t agent)> started;
    // A process put a message on a link.
    std::function<void(std::size_t from, std::size_t to, const Message &message)> sent;
    // An entry received a message.
    std::function<void(std::size_t entry, const Message &message)> received;
};

class VirtualSite
{
public:
    explicit VirtualSite(SiteOptions options);

    TimePoint now() const { return m_clock.now(); }
    void at(TimePoint time, std::function<void()> action) { m_clock.at(time, std::move(action)); }
    void after(Duration delay, std::function<void()> action)
    {
        m_clock.at(now() + delay, std::move(action));
    }
    // Handles all events up to this time.
    void run(TimePoint until) { m_clock.run(until); }

    std::size_t agents() const { return m_options.agents.size(); }
    std::size_t entries() const { return m_options.entries; }
    // Null while the process is killed.
    const AgentCore *agent(std::size_t position) const { return m_processes[position].core.get(); }
    Incarnation incarnation(std::size_t position) const
    {
        return m_processes[position].info.incarnation;
    }
    std::optional<std::size_t> positionOf(Incarnation incarnation) const;
    bool frozen(std::size_t position) const { return m_processes[position].frozen; }
    std::mt19937_64 &random() { return m_random; }
    // Messages between processes by kind.
    const std::array<std::uint64_t, CoreStatistics::MessageKinds> &messages() const
    {
        return m_messages;
    }

    // Sends a message of an entry; false if the entry has no link to that process.
    bool sendFromEntry(std::size_t entry, Incarnation to, Message message);

    // Faults.
    void kill(std::size_t agent);
    void restart(std::size_t agent);
    void freeze(std::size_t agent);
    void wake(std::size_t agent);
    void restartUpstream(std::size_t agent);
    void upstreamSilent(std::size_t agent);
    void upstreamAnnounce(std::size_t agent);
    void drain(std::size_t agent);
    void beginStop(std::size_t agent);
    // The connection ends, frames in flight are lost, and no new one works until heal().
    void cut(std::size_t a, std::size_t b);
    void heal(std::size_t a, std::size_t b);
    // Frames from one process to the other are lost until the connection is replaced.
    void silence(std::size_t from, std::size_t to);
    // Heals all links, wakes and restarts all agents.
    void healAll();

private:
    struct Process
    {
        ProcessInfo info;
        // Null for entries and for killed agents.
        std::unique_ptr<AgentCore> core;
        bool frozen = false;
        // Calls that wait for a frozen process.
        std::vector<std::function<void()>> backlog;
        VirtualUpstream upstream;
        std::optional<TimePoint> wakeup;
        std::uint64_t heartbeats = 0;
        AgentState announcedState = AgentState::Starting;
    };
    struct Link
    {
        std::uint64_t generation = 0;
        // By side: the process with the lower position is side 0.
        std::array<bool, 2> up{};
        // The run of the other process that each side is connected to.
        std::array<Incarnation, 2> peer{};
        std::array<bool, 2> loses{};
        std::array<TimePoint, 2> lastArrival{};
        bool blocked = false;
        bool dialling = false;
    };
    using CoreCall = std::function<void(AgentCore &core, Outbox &out)>;

    Link &link(std::size_t a, std::size_t b);
    Duration delay(std::size_t a, std::size_t b) const;
    bool alive(std::size_t position) const;
    void startAgent(std::size_t position);
    // Runs now, or when the process wakes up; never if it is another run of the process by then.
    void whenAwake(std::size_t position, std::function<void()> action);
    void callCore(std::size_t position, CoreCall call);
    void carryOut(std::size_t position, Outbox &out);
    void scheduleWakeup(std::size_t position);
    void sendHeartbeats(std::size_t position);
    void heartbeatLoop(std::size_t position, Incarnation incarnation);
    bool send(std::size_t from, Incarnation to, Message message);
    void deliver(std::size_t from, Incarnation fromIncarnation, std::size_t to,
                 Incarnation toIncarnation, Message message);
    void startTask(std::size_t position, const StartTask &task);
    void sideDown(std::size_t self, std::size_t other, std::uint64_t generation);
    void dial(std::size_t a, std::size_t b);
    void connect(std::size_t a, std::size_t b);
    void sideUp(std::size_t self, std::size_t other);
    UpstreamCapacity capacity(std::size_t position) const;
    Duration randomDelay(Duration limit);

    SiteOptions m_options;
    std::mt19937_64 m_random;
    VirtualClock m_clock;
    std::vector<Process> m_processes;
    std::vector<Link> m_links;
    std::unordered_map<Incarnation, std::size_t> m_positions;
    std::array<std::uint64_t, CoreStatistics::MessageKinds> m_messages{};
};

} // namespace Bluebellquay
