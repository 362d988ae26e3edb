#include "core/agentcore.h"

#include "core/corestatistics.h"
#include "core/executorcore.h"
#include "core/homecore.h"
#include "core/peertable.h"

namespace Bluebellquay {

namespace {

// An executing agent keeps unacknowledged results for this many times the timeout after which homes
// give up their bindings, because the clocks of the two agents don't agree exactly.
constexpr int ForgetFactor = 3;
// Interval at which a stopping agent checks whether it may exit.
constexpr Duration StopPollInterval{100'000};

template <typename Type, typename... Types>
constexpr bool IsOneOf = (std::is_same_v<Type, Types> || ...);

template <typename Type>
constexpr bool IsForHome = IsOneOf<Type, Submit, Await, StopWaiting, Cancel, Refuse, Query, Pull,
                                   TaskResult, TaskState, Handover, HandoverAck>;

template <typename Type>
constexpr bool IsForExecutor = IsOneOf<Type, Reserve, Bind, ResultAck, Withdraw, TaskQuery>;

} // namespace

boost::leaf::result<std::unique_ptr<AgentCore>> AgentCore::create(AgentCoreSettings settings,
                                                                  TimePoint now)
{
    if (settings.self.incarnation == Incarnation())
        return boost::leaf::new_error(std::string("the incarnation must not be zero"));
    if (settings.issuePeriod <= Duration(0))
        return boost::leaf::new_error(std::string("the issue period must be above zero"));
    if (settings.acceptedPeriods == 0)
        return boost::leaf::new_error(std::string("at least one issue period must be accepted"));
    if (settings.maxRecords == 0)
        return boost::leaf::new_error(std::string("at least one record must be allowed"));
    if (settings.lostTimeout <= Duration(0))
        return boost::leaf::new_error(std::string("the lost timeout must be above zero"));
    return std::unique_ptr<AgentCore>(new AgentCore(std::move(settings), now));
}

AgentCore::AgentCore(AgentCoreSettings settings, TimePoint now)
    : m_settings(std::move(settings))
    , m_statistics(std::make_unique<CoreStatistics>())
    , m_peers(std::make_unique<PeerTable>(m_settings.self))
    , m_home(std::make_unique<HomeCore>(m_settings, *m_statistics, *m_peers, now))
    , m_executor(std::make_unique<ExecutorCore>(m_settings, *m_statistics, *m_peers))
{ }

AgentCore::~AgentCore() = default;

void AgentCore::syncExecutor()
{
    m_home->setExecutor(m_executor->state() == AgentState::Serving, m_executor->load());
}

void AgentCore::begin(TimePoint now)
{
    m_lastCall = now;
    m_home->advanceWindow(now);
    syncExecutor();
}

void AgentCore::handle(TimePoint now, Incarnation from, Message message, Outbox &out)
{
    begin(now);
    m_statistics->addReceived(message);
    dispatch(now, from, std::move(message));
    settle(now, out);
}

void AgentCore::dispatch(TimePoint now, Incarnation from, Message message)
{
    std::visit(
        [&](auto &content) {
            using Type = std::decay_t<decltype(content)>;
            if constexpr (IsForHome<Type>) {
                m_home->handle(now, from, std::move(content), m_pending);
            } else if constexpr (IsForExecutor<Type>) {
                m_executor->handle(now, from, std::move(content), m_pending);
            } else if constexpr (std::is_same_v<Type, Heartbeat>) {
                if (m_peers->applyHeartbeat(from, content))
                    m_home->agentServes(now, from, m_pending);
            } else if constexpr (std::is_same_v<Type, Drain>) {
                drain(from, content);
            }
            // The process around the core handles all other messages.
        },
        message);
}

void AgentCore::drain(Incarnation from, const Drain &message)
{
    m_executor->leave();
    m_pending.send(from, DrainAck{message.correlation, state()});
}

void AgentCore::deliverLocal(TimePoint now)
{
    // Handlers append to the list, so positions are used instead of iterators.
    std::size_t kept = 0;
    for (std::size_t i = 0; i < m_pending.messages.size(); ++i) {
        Envelope envelope = std::move(m_pending.messages[i]);
        if (envelope.to == m_settings.self.incarnation)
            dispatch(now, m_settings.self.incarnation, std::move(envelope.message));
        else
            m_pending.messages[kept++] = std::move(envelope);
    }
    m_pending.messages.resize(kept);
}

void AgentCore::settle(TimePoint now, Outbox &out)
{
    do {
        deliverLocal(now);
        syncExecutor();
    } while (m_home->sendOffers(now, m_pending));
    if (m_stopping && m_executor->idle())
        m_home->continueStop(now, m_pending);
    m_home->flush(now, m_pending);
    for (Envelope &envelope : m_pending.messages) {
        m_statistics->addSent(envelope.message);
        out.messages.push_back(std::move(envelope));
    }
    std::move(m_pending.starts.begin(), m_pending.starts.end(), std::back_inserter(out.starts));
    std::move(m_pending.stops.begin(), m_pending.stops.end(), std::back_inserter(out.stops));
    m_pending.clear();
}

void AgentCore::advance(TimePoint now, Outbox &out)
{
    begin(now);
    while (const auto timer = m_absenceTimers.popDue(now))
        absenceDue(now, *timer);
    m_home->advance(now, m_pending);
    m_executor->advance(now, m_pending);
    settle(now, out);
}

void AgentCore::absenceDue(TimePoint now, const AbsenceTimer &timer)
{
    const Peer *peer = m_peers->find(timer.peer);
    if (peer == nullptr || peer->up)
        return;
    const Duration absent = now - peer->downSince;
    if (timer.action == AbsenceAction::GiveUpBindings && absent >= m_settings.lostTimeout) {
        m_home->agentLost(now, timer.peer, m_pending);
    } else if (timer.action == AbsenceAction::ForgetPeer
               && absent >= m_settings.lostTimeout * ForgetFactor) {
        m_executor->homeLost(timer.peer);
        m_peers->forget(timer.peer);
    }
}

std::optional<TimePoint> AgentCore::nextWakeup() const
{
    std::optional<TimePoint> next = earliest(m_home->nextWakeup(), m_executor->nextWakeup());
    if (m_stopping && !stopped())
        next = earliest(next, m_lastCall + StopPollInterval);
    return earliest(next, m_absenceTimers.next());
}

void AgentCore::peerUp(TimePoint now, const ProcessInfo &peer, Outbox &out)
{
    begin(now);
    // A new link opened before the end of the old one was reported: messages in flight on the old
    // link may be lost.
    if (m_peers->isUp(peer.incarnation))
        disconnect(now, peer.incarnation);
    connect(now, peer);
    settle(now, out);
}

void AgentCore::connect(TimePoint now, const ProcessInfo &peer)
{
    m_peers->connect(peer);
    if (peer.role != ProcessRole::Agent) {
        m_home->entryUp(peer.incarnation, m_pending);
        return;
    }
    // A restarted process has a new incarnation, so its earlier incarnations never reconnect.
    for (const Incarnation older : m_peers->olderIncarnations(peer))
        m_home->agentLost(now, older, m_pending);
    m_home->agentUp(now, peer.incarnation, m_pending);
    m_executor->homeUp(now, peer.incarnation, m_pending);
}

void AgentCore::peerDown(TimePoint now, Incarnation peer, Outbox &out)
{
    begin(now);
    disconnect(now, peer);
    settle(now, out);
}

void AgentCore::disconnect(TimePoint now, Incarnation peer)
{
    const Peer *entry = m_peers->find(peer);
    if (entry == nullptr || !entry->up)
        return;
    const ProcessRole role = entry->info.role;
    m_peers->disconnect(now, peer);
    m_absenceTimers.schedule(now + m_settings.lostTimeout,
                             AbsenceTimer{peer, AbsenceAction::GiveUpBindings});
    m_absenceTimers.schedule(now + m_settings.lostTimeout * ForgetFactor,
                             AbsenceTimer{peer, AbsenceAction::ForgetPeer});
    if (role == ProcessRole::Entry) {
        m_home->entryDown(peer);
        return;
    }
    m_home->agentDown(peer);
    m_executor->homeDown(peer);
}

void AgentCore::upstreamAnnounced(TimePoint now, const UpstreamCapacity &capacity, Outbox &out)
{
    begin(now);
    const bool served = m_executor->state() == AgentState::Serving;
    m_executor->announced(now, capacity, m_pending);
    if (!served && m_executor->state() == AgentState::Serving) {
        syncExecutor();
        m_home->agentServes(now, m_settings.self.incarnation, m_pending);
    }
    settle(now, out);
}

void AgentCore::upstreamLeaving(TimePoint now, Outbox &out)
{
    begin(now);
    m_executor->leave();
    settle(now, out);
}

void AgentCore::upstreamSilent(TimePoint now, Outbox &out)
{
    begin(now);
    m_executor->silent();
    settle(now, out);
}

void AgentCore::taskFinished(TimePoint now, const TaskKey &task, TaskOutcome outcome, Outbox &out)
{
    begin(now);
    m_executor->finished(now, task, std::move(outcome), m_pending);
    settle(now, out);
}

void AgentCore::taskNotStarted(TimePoint now, const TaskKey &task, Outbox &out)
{
    begin(now);
    m_executor->notStarted(now, task, m_pending);
    settle(now, out);
}

void AgentCore::taskLost(TimePoint now, const TaskKey &task, Outbox &out)
{
    begin(now);
    m_executor->lost(now, task, m_pending);
    settle(now, out);
}

void AgentCore::setRules(TimePoint now, ConfigVersion version, std::shared_ptr<const RuleSet> rules,
                         Outbox &out)
{
    begin(now);
    if (version >= m_configVersion) {
        m_configVersion = version;
        m_executor->setRules(rules);
        m_home->setRules(std::move(rules));
    }
    settle(now, out);
}

void AgentCore::beginStop(TimePoint now, Outbox &out)
{
    begin(now);
    m_stopping = true;
    m_executor->beginStop();
    m_home->beginStop();
    settle(now, out);
}

bool AgentCore::stopped() const
{
    return m_stopping && m_executor->idle() && m_home->stopped();
}

Heartbeat AgentCore::heartbeat(TimePoint now) const
{
    m_home->advanceWindow(now);
    Heartbeat heartbeat;
    heartbeat.configVersion = m_configVersion;
    heartbeat.issuePeriod = m_home->issuePeriod();
    heartbeat.state = state();
    heartbeat.load = m_executor->load();
    return heartbeat;
}

AgentState AgentCore::state() const
{
    if (stopped())
        return AgentState::Gone;
    // Without rules the home refuses every submission, so no entry may issue ids for it yet.
    if (m_executor->state() == AgentState::Serving && m_configVersion == ConfigVersion())
        return AgentState::Starting;
    return m_executor->state();
}

const CoreStatistics &AgentCore::statistics() const
{
    return *m_statistics;
}

CoreMemory AgentCore::memory() const
{
    CoreMemory memory;
    memory.records = m_home->records();
    memory.activeSubmissions = m_home->activeSubmissions();
    memory.waiters = m_home->waiters();
    memory.reservations = m_executor->queueSize();
    memory.outstandingPulls = m_executor->outstandingPulls();
    memory.registryEntries = m_executor->registrySize();
    memory.adoptedHomes = m_home->adoptedHomes();
    memory.peers = m_peers->all().size();
    return memory;
}

} // namespace Bluebellquay
