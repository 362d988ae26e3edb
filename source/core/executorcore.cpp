#include "core/executorcore.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

constexpr Duration PullRepeatInterval{1'000'000};
// Much longer than the delay with which homes batch acknowledgements (AckDelay).
constexpr Duration ReportRepeatInterval{1'000'000};

} // namespace

ExecutorCore::ExecutorCore(const AgentCoreSettings &settings, CoreStatistics &statistics,
                           const PeerTable &peers)
    : m_settings(settings)
    , m_statistics(statistics)
    , m_peers(peers)
{ }

void ExecutorCore::handle(TimePoint now, Incarnation from, Reserve message, Outbox &out)
{
    if (m_state != AgentState::Serving || !m_peers.isUp(from))
        return;
    if (m_capacity.neverFits(message.need)) {
        // A pull of no tasks declines the offer.
        m_lastPull = m_lastPull.next();
        out.send(from, Pull{m_lastPull, message.submission, 0});
        return;
    }
    m_queue.put(now, std::move(message));
    fillSlots(now, out);
}

void ExecutorCore::fillSlots(TimePoint now, Outbox &out)
{
    m_lastFill = now;
    while (m_state == AgentState::Serving && m_capacity.freeSlots() > 0 && pullOne(now, out)) { }
}

std::uint32_t ExecutorCore::pullable(const Reservation &reservation) const
{
    std::uint32_t limit = m_capacity.freeSlots();
    if (!SlotShares::isShort(reservation.offer))
        limit = limit > m_reservedSlots ? limit - m_reservedSlots : 0;
    limit = std::min(limit, reservation.open());
    return m_capacity.fitting(reservation.offer.need, limit);
}

bool ExecutorCore::pullOne(TimePoint now, Outbox &out)
{
    const bool probing = m_quarantine.active();
    if (probing && now < *m_quarantine.probeAt())
        return false;
    m_reservedSlots = m_shares.reservedSlots(now, m_peers, m_capacity.slots());
    const auto allowance = [this](const Reservation &reservation) {
        return m_shares.teamAllowance(reservation.offer.branch, reservation.offer.team,
                                      m_capacity.slots());
    };
    const Reservation *chosen = m_queue.first([&](const Reservation &reservation) {
        return pullable(reservation) > 0 && allowance(reservation) > 0;
    });
    std::uint32_t tasks = 0;
    if (chosen != nullptr) {
        tasks = std::min(pullable(*chosen), allowance(*chosen));
    } else {
        // A team may exceed its quota if nobody else waits.
        chosen = m_queue.first(
            [this](const Reservation &reservation) { return pullable(reservation) > 0; });
        if (chosen == nullptr)
            return false;
        tasks = 1;
    }
    if (probing) {
        tasks = 1;
        m_quarantine.probeSent(now);
        m_statistics.add(CoreCounter::QuarantineProbes);
    }
    m_lastPull = m_lastPull.next();
    const SubmissionId id = chosen->offer.submission;
    m_pulls.emplace(m_lastPull, OutstandingPull{id, tasks, chosen->offer});
    m_capacity.allocate(chosen->offer.need, tasks);
    m_queue.addRequested(id, tasks);
    m_pullTimers.schedule(now + PullRepeatInterval, m_lastPull);
    out.send(id.home(), Pull{m_lastPull, id, tasks});
    return true;
}

void ExecutorCore::endPull(PullMap::iterator position)
{
    const OutstandingPull &pull = position->second;
    m_capacity.release(pull.offer.need, pull.maxTasks);
    m_queue.removeRequested(pull.submission, pull.maxTasks);
    m_pulls.erase(position);
}

template <typename Predicate>
void ExecutorCore::abandonPulls(Predicate predicate)
{
    for (auto position = m_pulls.begin(); position != m_pulls.end();) {
        const auto current = position++;
        if (predicate(current->second))
            endPull(current);
    }
}

void ExecutorCore::handle(TimePoint now, Incarnation from, Bind message, Outbox &out)
{
    const auto position = m_pulls.find(message.pull);
    if (position == m_pulls.end() || position->second.submission != message.submission) {
        discardBind(now, from, message, out);
        return;
    }
    const OutstandingPull pull = position->second;
    endPull(position);
    m_queue.setRemaining(message.submission, message.remaining);
    for (BoundTask &task : message.tasks) {
        const TaskKey key{message.submission, task.index, task.attempt};
        // The home has been told that a task with a tombstone is not started here.
        if (m_registry.find(key) != nullptr)
            continue;
        startTask(now, key, std::move(task), pull, out);
    }
    fillSlots(now, out);
}

void ExecutorCore::startTask(TimePoint now, const TaskKey &key, BoundTask task,
                             const OutstandingPull &pull, Outbox &out)
{
    const bool isShort = SlotShares::isShort(pull.offer);
    TaskRegistry::Entry entry;
    entry.need = pull.offer.need;
    entry.branch = pull.offer.branch;
    entry.team = pull.offer.team;
    m_registry.start(key, std::move(entry));
    m_capacity.allocate(pull.offer.need, 1);
    m_shares.started(now, pull.offer.branch, pull.offer.team, isShort, pull.offer.expectedRunTime);
    m_statistics.add(CoreCounter::TasksStarted);
    out.starts.push_back(
        StartTask{key, pull.offer.branch, pull.offer.kind, std::move(task.payload)});
}

void ExecutorCore::discardBind(TimePoint now, Incarnation from, const Bind &message, Outbox &out)
{
    m_statistics.add(CoreCounter::DiscardedBinds);
    if (!m_peers.isUp(from))
        return;
    for (const BoundTask &task : message.tasks) {
        const TaskKey key{message.submission, task.index, task.attempt};
        if (m_registry.find(key) != nullptr || from != message.submission.home())
            continue;
        m_statistics.add(CoreCounter::Tombstones);
        m_registry.recordTombstone(key);
        report(now, key, out);
    }
}

void ExecutorCore::handle(TimePoint now, Incarnation /*from*/, const Withdraw &message, Outbox &out)
{
    m_queue.remove(message.submission);
    if (!message.stopStarted)
        return;
    for (const TaskKey &key : m_registry.runningOf(message.submission))
        out.stops.push_back(StopTask{key});
    fillSlots(now, out);
}

void ExecutorCore::handle(TimePoint now, Incarnation /*from*/, const ResultAck &message,
                          Outbox &out)
{
    for (const TaskKey &key : message.tasks) {
        if (!m_registry.acknowledge(key))
            continue;
        // The tombstone is gone, so a late Bind of this task must not find an outstanding pull.
        abandonPulls(
            [&](const OutstandingPull &pull) { return pull.submission == key.submission; });
    }
    fillSlots(now, out);
}

void ExecutorCore::handle(TimePoint now, Incarnation from, const TaskQuery &message, Outbox &out)
{
    // The frame arrived after its link was lost. The home repeats the query when it reconnects.
    if (!m_peers.isUp(from))
        return;
    TaskState state;
    for (const TaskKey &key : message.tasks) {
        if (key.submission.home() != from)
            continue;
        const TaskRegistry::Entry *entry = m_registry.find(key);
        if (entry == nullptr) {
            m_statistics.add(CoreCounter::Tombstones);
            m_registry.recordTombstone(key);
            m_registry.noteReported(now, key);
            m_reportTimers.schedule(now + ReportRepeatInterval, key);
            entry = m_registry.find(key);
        }
        state.tasks.push_back(TaskStateEntry{key, entry->status});
        if (entry->status == TaskStatus::Finished)
            out.send(from, TaskResult{key, entry->outcome});
    }
    if (!state.tasks.empty())
        out.send(from, std::move(state));
}

void ExecutorCore::report(TimePoint now, const TaskKey &key, Outbox &out)
{
    const TaskRegistry::Entry *entry = m_registry.find(key);
    if (entry == nullptr || entry->status == TaskStatus::Running)
        return;
    const Incarnation home = key.submission.home();
    // Reports to a home out of reach are sent when it is back; see homeUp().
    if (!m_peers.isUp(home)) {
        // The home was given up while the task still ran, so nothing else ends this entry.
        if (m_peers.find(home) == nullptr)
            homeLost(home);
        return;
    }
    if (entry->status == TaskStatus::Finished)
        out.send(home, TaskResult{key, entry->outcome});
    else
        out.send(home, TaskState{{TaskStateEntry{key, entry->status}}});
    m_registry.noteReported(now, key);
    m_reportTimers.schedule(now + ReportRepeatInterval, key);
}

void ExecutorCore::releaseSlot(const TaskKey &key)
{
    const TaskRegistry::Entry &entry = *m_registry.find(key);
    m_capacity.release(entry.need, 1);
    m_shares.ended(entry.branch, entry.team);
}

void ExecutorCore::finished(TimePoint now, const TaskKey &task, TaskOutcome outcome, Outbox &out)
{
    const bool succeeded = outcome.succeeded;
    if (!m_registry.finish(task, std::move(outcome)))
        return;
    releaseSlot(task);
    if (succeeded)
        m_quarantine.succeeded();
    else if (m_quarantine.failed(now, task.submission))
        m_statistics.add(CoreCounter::Quarantines);
    report(now, task, out);
    fillSlots(now, out);
}

void ExecutorCore::notStarted(TimePoint now, const TaskKey &task, Outbox &out)
{
    if (!m_registry.markNotStarted(task))
        return;
    releaseSlot(task);
    m_statistics.add(CoreCounter::Tombstones);
    report(now, task, out);
    fillSlots(now, out);
}

void ExecutorCore::lost(TimePoint now, const TaskKey &task, Outbox &out)
{
    if (!m_registry.markLost(task))
        return;
    releaseSlot(task);
    report(now, task, out);
    fillSlots(now, out);
}

void ExecutorCore::homeUp(TimePoint now, Incarnation home, Outbox &out)
{
    for (const TaskKey &key : m_registry.unacknowledged(home))
        report(now, key, out);
}

void ExecutorCore::homeDown(Incarnation home)
{
    m_queue.removeHome(home);
    abandonPulls([&](const OutstandingPull &pull) { return pull.submission.home() == home; });
}

void ExecutorCore::homeLost(Incarnation home)
{
    if (m_registry.forget(home))
        m_statistics.add(CoreCounter::ForgottenHomes);
}

void ExecutorCore::announced(TimePoint now, const UpstreamCapacity &capacity, Outbox &out)
{
    if (m_upstream != capacity.incarnation) {
        // Tasks that ran on the previous upstream are lost with it.
        for (const TaskKey &key : m_registry.running())
            lost(now, key, out);
        m_quarantine = FailureQuarantine();
        m_upstream = capacity.incarnation;
        if (m_state == AgentState::Leaving && !m_stopping)
            m_state = AgentState::Starting;
    }
    m_capacity.setCapacity(capacity);
    if (m_state == AgentState::Starting && !m_evacuated)
        m_state = AgentState::Serving;
    fillSlots(now, out);
}

void ExecutorCore::leave()
{
    m_state = AgentState::Leaving;
    m_queue.clear();
    abandonPulls([](const OutstandingPull &) { return true; });
}

void ExecutorCore::silent()
{
    if (m_state == AgentState::Serving)
        m_state = AgentState::Starting;
    abandonPulls([](const OutstandingPull &) { return true; });
}

void ExecutorCore::setRules(std::shared_ptr<const RuleSet> rules)
{
    m_evacuated = rules->evacuated.contains(m_settings.self.dataCentre);
    if (m_evacuated)
        silent();
    m_shares.setRules(std::move(rules));
}

void ExecutorCore::beginStop()
{
    m_stopping = true;
    leave();
}

void ExecutorCore::advance(TimePoint now, Outbox &out)
{
    while (const auto pull = m_pullTimers.popDue(now)) {
        const auto position = m_pulls.find(*pull);
        if (position == m_pulls.end())
            continue;
        m_statistics.add(CoreCounter::ResentPulls);
        const OutstandingPull &outstanding = position->second;
        out.send(outstanding.submission.home(),
                 Pull{*pull, outstanding.submission, outstanding.maxTasks});
        m_pullTimers.schedule(now + PullRepeatInterval, *pull);
    }
    while (const auto key = m_reportTimers.popDue(now)) {
        const TaskRegistry::Entry *entry = m_registry.find(*key);
        // A task that was reported in the meantime has a later timer.
        if (entry == nullptr || now - entry->reported < ReportRepeatInterval
            || !m_peers.isUp(key->submission.home()))
            continue;
        m_statistics.add(CoreCounter::ResentResults);
        report(now, *key, out);
    }
    fillSlots(now, out);
}

std::optional<TimePoint> ExecutorCore::nextWakeup() const
{
    std::optional<TimePoint> next = earliest(m_pullTimers.next(), m_reportTimers.next());
    // A probe that is due already waits for a task and a slot and needs no timer.
    if (m_quarantine.active() && m_queue.size() > 0 && *m_quarantine.probeAt() > m_lastFill)
        next = earliest(next, m_quarantine.probeAt());
    return next;
}

AgentLoad ExecutorCore::load() const
{
    AgentLoad load;
    load.slots = m_capacity.slots();
    const bool takesWork = m_state == AgentState::Serving && !m_quarantine.active();
    load.freeSlots = takesWork ? m_capacity.freeSlots() : 0;
    load.queued = m_queue.queuedTasks();
    // Reservations are made at several agents, so each one holds only a share of the site's queue.
    if (load.freeSlots == 0 && load.slots > 0 && m_queue.size() > 0) {
        const auto agents = static_cast<Duration::rep>(m_peers.servingCount() + 1);
        load.expectedWait = m_queue.queuedWork() / (load.slots * agents);
    }
    return load;
}

bool ExecutorCore::idle() const
{
    if (m_registry.runningCount() > 0)
        return false;
    const std::vector<Incarnation> homes = m_registry.homes();
    return std::none_of(homes.begin(), homes.end(),
                        [this](Incarnation home) { return m_peers.isUp(home); });
}

} // namespace Bluebellquay
