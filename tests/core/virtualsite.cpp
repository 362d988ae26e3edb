#include "core/virtualsite.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

constexpr Duration UpstreamDelay{50};
constexpr Duration RedialInterval{200'000};

} // namespace

VirtualSite::VirtualSite(SiteOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_processes(m_options.agents.size() + m_options.entries)
    , m_links(m_processes.size() * m_processes.size())
{
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        ProcessInfo &info = m_processes[i].info;
        info.name = "p" + std::to_string(i);
        if (i < agents()) {
            info.dataCentre = m_options.agents[i].dataCentre;
            startAgent(i);
        } else {
            info.role = ProcessRole::Entry;
            if (!m_options.entryDataCentres.empty())
                info.dataCentre = m_options.entryDataCentres.at(i - agents());
            info.incarnation = Incarnation(m_random());
            m_positions[info.incarnation] = i;
        }
    }
    for (std::size_t a = 0; a < agents(); ++a) {
        for (std::size_t b = a + 1; b < m_processes.size(); ++b)
            connect(a, b);
    }
    for (std::size_t i = 0; i < agents(); ++i)
        upstreamAnnounce(i);
}

std::optional<std::size_t> VirtualSite::positionOf(Incarnation incarnation) const
{
    const auto position = m_positions.find(incarnation);
    return position == m_positions.end() ? std::nullopt : std::optional(position->second);
}

VirtualSite::Link &VirtualSite::link(std::size_t a, std::size_t b)
{
    return m_links[std::min(a, b) * m_processes.size() + std::max(a, b)];
}

Duration VirtualSite::delay(std::size_t a, std::size_t b) const
{
    if ((a >= agents() || b >= agents()) && m_options.entryDataCentres.empty())
        return m_options.entryDelay;
    return m_processes[a].info.dataCentre == m_processes[b].info.dataCentre ? m_options.nearDelay
                                                                            : m_options.farDelay;
}

Duration VirtualSite::randomDelay(Duration limit)
{
    return Duration(static_cast<Duration::rep>(m_random() % (limit.count() + 1)));
}

bool VirtualSite::alive(std::size_t position) const
{
    return position >= agents() || m_processes[position].core != nullptr;
}

void VirtualSite::startAgent(std::size_t position)
{
    Process &process = m_processes[position];
    process.info.incarnation = Incarnation(m_random());
    process.info.state = AgentState::Starting;
    process.announcedState = AgentState::Starting;
    m_positions[process.info.incarnation] = position;
    AgentCoreSettings settings;
    settings.self = process.info;
    settings.issuePeriod = m_options.issuePeriod;
    settings.acceptedPeriods = m_options.acceptedPeriods;
    settings.maxRecords = m_options.maxRecords;
    settings.lostTimeout = m_options.lostTimeout;
    settings.seed = m_options.seed;
    process.core = AgentCore::create(settings, now()).value();
    callCore(position, [this](AgentCore &core, Outbox &out) {
        core.setRules(now(), ConfigVersion(1), m_options.rules, out);
    });
    heartbeatLoop(position, process.info.incarnation);
}

void VirtualSite::whenAwake(std::size_t position, std::function<void()> action)
{
    Process &process = m_processes[position];
    if (process.frozen)
        process.backlog.push_back(std::move(action));
    else
        action();
}

void VirtualSite::callCore(std::size_t position, CoreCall call)
{
    const Incarnation incarnation = m_processes[position].info.incarnation;
    whenAwake(position, [this, position, incarnation, call = std::move(call)] {
        Process &process = m_processes[position];
        if (!process.core || process.info.incarnation != incarnation)
            return;
        Outbox out;
        call(*process.core, out);
        carryOut(position, out);
        scheduleWakeup(position);
        if (process.core->state() != process.announcedState)
            sendHeartbeats(position);
    });
}

void VirtualSite::carryOut(std::size_t position, Outbox &out)
{
    for (Envelope &envelope : out.messages)
        send(position, envelope.to, std::move(envelope.message));
    for (StartTask &task : out.starts) {
        after(UpstreamDelay,
              [this, position, start = std::move(task)] { startTask(position, start); });
    }
    for (const StopTask &task : out.stops) {
        after(UpstreamDelay,
              [this, position, key = task.task] { m_processes[position].upstream.stop(key); });
    }
}

void VirtualSite::scheduleWakeup(std::size_t position)
{
    Process &process = m_processes[position];
    const std::optional<TimePoint> next = process.core->nextWakeup();
    if (!next || (process.wakeup && *process.wakeup <= *next))
        return;
    process.wakeup = *next;
    at(*next, [this, position, time = *next] {
        Process &woken = m_processes[position];
        if (woken.wakeup != time)
            return;
        woken.wakeup.reset();
        callCore(position, [this](AgentCore &core, Outbox &out) { core.advance(now(), out); });
    });
}

void VirtualSite::sendHeartbeats(std::size_t position)
{
    Process &process = m_processes[position];
    Heartbeat heartbeat = process.core->heartbeat(now());
    heartbeat.sequence = ++process.heartbeats;
    process.announcedState = heartbeat.state;
    process.info.state = heartbeat.state;
    for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (other != position && alive(other))
            send(position, m_processes[other].info.incarnation, heartbeat);
    }
}

void VirtualSite::heartbeatLoop(std::size_t position, Incarnation incarnation)
{
    after(m_options.heartbeatInterval, [this, position, incarnation] {
        const Process &process = m_processes[position];
        if (!process.core || process.info.incarnation != incarnation)
            return;
        if (!process.frozen)
            sendHeartbeats(position);
        heartbeatLoop(position, incarnation);
    });
}

bool VirtualSite::send(std::size_t from, Incarnation to, Message message)
{
    const auto target = positionOf(to);
    if (!target || *target == from || m_processes[*target].info.incarnation != to)
        return false;
    Link &path = link(from, *target);
    const std::size_t side = from < *target ? 0 : 1;
    if (!path.up[side])
        return false;
    ++m_messages[message.index()];
    if (m_options.sent)
        m_options.sent(from, *target, message);
    if (path.loses[side])
        return true;
    const Incarnation sender = m_processes[from].info.incarnation;
    const std::uint64_t generation = path.generation;
    const bool duplicated = m_options.duplicateShare > 0
        && std::uniform_real_distribution<>(0, 1)(m_random) < m_options.duplicateShare;
    if (duplicated) {
        constexpr Duration MaxLateness{3'000'000};
        // Late frames may arrive after the connection was replaced.
        after(randomDelay(MaxLateness), [this, from, sender, target, to, message] {
            deliver(from, sender, *target, to, message);
        });
    }
    path.lastArrival[side] = std::max(path.lastArrival[side], now() + delay(from, *target));
    at(path.lastArrival[side],
       [this, from, sender, target, to, generation, content = std::move(message)]() mutable {
           if (link(from, *target).generation == generation)
               deliver(from, sender, *target, to, std::move(content));
       });
    return true;
}

bool VirtualSite::sendFromEntry(std::size_t entry, Incarnation to, Message message)
{
    return send(agents() + entry, to, std::move(message));
}

void VirtualSite::deliver(std::size_t /*from*/, Incarnation fromIncarnation, std::size_t to,
                          Incarnation toIncarnation, Message message)
{
    Process &process = m_processes[to];
    if (process.info.incarnation != toIncarnation)
        return;
    if (to >= agents()) {
        if (m_options.received)
            m_options.received(to - agents(), message);
        return;
    }
    callCore(to,
             [this, fromIncarnation, content = std::move(message)](AgentCore &core,
                                                                   Outbox &out) mutable {
                 core.handle(now(), fromIncarnation, std::move(content), out);
             });
}

void VirtualSite::startTask(std::size_t position, const StartTask &task)
{
    if (m_options.started)
        m_options.started(task, position);
    const TaskPlan plan = m_options.plan ? m_options.plan(task, position) : TaskPlan();
    m_processes[position].upstream.start(
        m_clock, task, plan, [this, position](const TaskKey &key, const TaskOutcome &outcome) {
            callCore(position, [this, key, outcome](AgentCore &core, Outbox &out) {
                core.taskFinished(now(), key, outcome, out);
            });
        });
}

UpstreamCapacity VirtualSite::capacity(std::size_t position) const
{
    UpstreamCapacity capacity;
    capacity.incarnation = m_processes[position].upstream.incarnation();
    capacity.slots = m_options.agents[position].slots;
    capacity.connections = 64;
    return capacity;
}

void VirtualSite::upstreamAnnounce(std::size_t agent)
{
    callCore(agent, [this, announced = capacity(agent)](AgentCore &core, Outbox &out) {
        core.upstreamAnnounced(now(), announced, out);
    });
}

void VirtualSite::upstreamSilent(std::size_t agent)
{
    callCore(agent, [this](AgentCore &core, Outbox &out) { core.upstreamSilent(now(), out); });
}

void VirtualSite::restartUpstream(std::size_t agent)
{
    const std::vector<TaskKey> lost = m_processes[agent].upstream.restart();
    // The connections of the tasks break before or after the new announcement.
    if (m_random() % 2 == 0)
        upstreamAnnounce(agent);
    for (const TaskKey &key : lost) {
        callCore(agent,
                 [this, key](AgentCore &core, Outbox &out) { core.taskLost(now(), key, out); });
    }
    upstreamAnnounce(agent);
}

void VirtualSite::drain(std::size_t agent)
{
    callCore(agent, [this](AgentCore &core, Outbox &out) { core.upstreamLeaving(now(), out); });
}

void VirtualSite::beginStop(std::size_t agent)
{
    callCore(agent, [this](AgentCore &core, Outbox &out) { core.beginStop(now(), out); });
}

void VirtualSite::kill(std::size_t agent)
{
    Process &process = m_processes[agent];
    if (!process.core)
        return;
    process.core.reset();
    process.frozen = false;
    process.backlog.clear();
    process.wakeup.reset();
    const bool losesFrames = m_random() % 2 == 0;
    for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (other == agent)
            continue;
        Link &path = link(agent, other);
        path.generation += losesFrames ? 1 : 0;
        path.up[agent < other ? 0 : 1] = false;
        const std::uint64_t generation = path.generation;
        after(randomDelay(m_options.silenceTimeout),
              [this, agent, other, generation] { sideDown(other, agent, generation); });
    }
}

void VirtualSite::restart(std::size_t agent)
{
    if (m_processes[agent].core)
        return;
    startAgent(agent);
    for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (other != agent)
            dial(agent, other);
    }
    upstreamAnnounce(agent);
}

void VirtualSite::freeze(std::size_t agent)
{
    Process &process = m_processes[agent];
    if (!process.core || process.frozen)
        return;
    process.frozen = true;
    for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (other == agent)
            continue;
        after(m_options.silenceTimeout,
              [this, agent, other, generation = link(agent, other).generation] {
                  if (m_processes[agent].frozen)
                      sideDown(other, agent, generation);
              });
    }
}

void VirtualSite::wake(std::size_t agent)
{
    Process &process = m_processes[agent];
    if (!process.frozen)
        return;
    process.frozen = false;
    const auto backlog = std::move(process.backlog);
    process.backlog.clear();
    for (const auto &action : backlog)
        action();
}

void VirtualSite::sideDown(std::size_t self, std::size_t other, std::uint64_t generation)
{
    whenAwake(self, [this, self, other, generation] {
        Link &path = link(self, other);
        const std::size_t side = self < other ? 0 : 1;
        if (path.generation != generation || !path.up[side])
            return;
        path.up[side] = false;
        const Incarnation peer = path.peer[side];
        callCore(self,
                 [this, peer](AgentCore &core, Outbox &out) { core.peerDown(now(), peer, out); });
        // The other side sees the end of the connection, unless it has seen it already.
        after(delay(self, other),
              [this, self, other, generation] { sideDown(other, self, generation); });
        dial(self, other);
    });
}

void VirtualSite::dial(std::size_t a, std::size_t b)
{
    Link &path = link(a, b);
    if (path.dialling || (a >= agents() && b >= agents()))
        return;
    path.dialling = true;
    after(RedialInterval + randomDelay(RedialInterval), [this, a, b] {
        Link &target = link(a, b);
        target.dialling = false;
        if (!alive(a) || !alive(b) || (target.up[0] && target.up[1]))
            return;
        const bool busy = target.up[0] || target.up[1] || target.blocked || m_processes[a].frozen
            || m_processes[b].frozen;
        if (busy)
            dial(a, b);
        else
            connect(a, b);
    });
}

void VirtualSite::connect(std::size_t a, std::size_t b)
{
    Link &path = link(a, b);
    ++path.generation;
    path.loses = {};
    sideUp(a, b);
    // Frames of the first side arrive after the second one has accepted the connection.
    path.lastArrival = {now() + delay(a, b), now() + delay(a, b)};
    sideUp(b, a);
}

void VirtualSite::sideUp(std::size_t self, std::size_t other)
{
    Link &path = link(self, other);
    path.up[self < other ? 0 : 1] = true;
    path.peer[self < other ? 0 : 1] = m_processes[other].info.incarnation;
    callCore(self, [this, info = m_processes[other].info](AgentCore &core, Outbox &out) {
        core.peerUp(now(), info, out);
    });
}

void VirtualSite::cut(std::size_t a, std::size_t b)
{
    Link &path = link(a, b);
    path.blocked = true;
    path.loses = {true, true};
    const std::uint64_t generation = ++path.generation;
    after(randomDelay(m_options.silenceTimeout),
          [this, a, b, generation] { sideDown(a, b, generation); });
    after(randomDelay(m_options.silenceTimeout),
          [this, a, b, generation] { sideDown(b, a, generation); });
}

void VirtualSite::heal(std::size_t a, std::size_t b)
{
    Link &path = link(a, b);
    path.blocked = false;
    if (!path.up[0] && !path.up[1])
        dial(a, b);
}

void VirtualSite::silence(std::size_t from, std::size_t to)
{
    Link &path = link(from, to);
    path.loses[from < to ? 0 : 1] = true;
    const std::uint64_t generation = path.generation;
    after(m_options.silenceTimeout,
          [this, from, to, generation] { sideDown(to, from, generation); });
}

void VirtualSite::healAll()
{
    for (std::size_t agent = 0; agent < agents(); ++agent) {
        wake(agent);
        restart(agent);
        upstreamAnnounce(agent);
    }
    for (std::size_t a = 0; a < agents(); ++a) {
        for (std::size_t b = a + 1; b < m_processes.size(); ++b)
            heal(a, b);
    }
}

} // namespace Bluebellquay
