#include "daemons/agent/agentdaemon.h"

#include "config/rulesdocument.h"
#include "daemons/randomseed.h"
#include "kernel/log.h"
#include "kernel/servicenames.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace Bluebellquay {

namespace {

// Interval of the check for a silent upstream. An upstream announces itself each second, so this
// interval detects a silent one soon after the timeout.
constexpr Duration AnnouncementCheckInterval = std::chrono::milliseconds(200);
// Longest wait for calls to an upstream that is being replaced. Calls to a dead upstream end at
// once; this bounds the wait for one that hangs.
constexpr Duration ReplacementTimeout = std::chrono::seconds(5);
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);

ProcessInfo describeSelf(const ProcessSettings &settings)
{
    ProcessInfo self;
    self.incarnation = randomIncarnation();
    self.role = ProcessRole::Agent;
    self.name = settings.name;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    self.address = settings.peerAdvertise;
    if (self.address.empty()) {
        // The stream operator writes an IPv6 address in brackets.
        std::ostringstream text;
        text << settings.peerListen;
        self.address = text.str();
    }
    return self;
}

AgentCoreSettings coreSettings(const AgentSettings &settings, const ProcessInfo &self)
{
    AgentCoreSettings core;
    core.self = self;
    core.issuePeriod = settings.issuePeriod;
    core.acceptedPeriods = settings.acceptedPeriods;
    core.maxRecords = settings.maxRecords;
    core.lostTimeout = settings.lostTimeout;
    core.seed = randomSeed();
    return core;
}

PeerNodeSettings peerSettings(const ProcessSettings &settings)
{
    PeerNodeSettings peer;
    peer.endpoint = settings.peerListen;
    peer.secret = settings.peerSecret;
    peer.timing.heartbeatInterval = settings.heartbeatInterval;
    peer.timing.silenceTimeout = settings.silenceTimeout;
    return peer;
}

UpstreamCapacity capacityOf(const bluebellquay::v1::AnnounceRequest &request)
{
    UpstreamCapacity capacity;
    capacity.incarnation = request.incarnation();
    capacity.slots = request.slots();
    capacity.connections = request.connections();
    capacity.milliProcessors = request.milli_processors();
    capacity.memoryBytes = request.memory_bytes();
    capacity.accelerators = request.accelerators();
    capacity.usedMilliProcessors = request.used_milli_processors();
    capacity.usedMemoryBytes = request.used_memory_bytes();
    return capacity;
}

} // namespace

boost::leaf::result<std::unique_ptr<AgentDaemon>>
AgentDaemon::create(boost::asio::io_context &context, AgentSettings settings)
{
    std::unique_ptr<AgentDaemon> daemon(new AgentDaemon(context, std::move(settings)));
    BOOST_LEAF_CHECK(daemon->open());
    return daemon;
}

AgentDaemon::AgentDaemon(boost::asio::io_context &context, AgentSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_self(describeSelf(m_settings.process))
    , m_timers(context)
    , m_coreMetrics(m_metrics)
    , m_runTimes(m_metrics.histogram("bluebellquay_run_seconds"))
    , m_runner(context, m_timers,
               [this](const TaskKey &task, RunEnd end, const TaskOutcome &outcome) {
                   taskEnded(task, end, outcome);
               })
    , m_linkPlan(m_self.incarnation, m_settings.entries)
    , m_signals(context, SIGTERM, SIGINT)
{ }

boost::leaf::result<void> AgentDaemon::open()
{
    BOOST_LEAF_ASSIGN(m_core, AgentCore::create(coreSettings(m_settings, m_self), m_timers.now()));

    PeerHandlers handlers;
    handlers.up = [this](const ProcessInfo &peer) {
        m_linkedPeers[peer.incarnation] = peer.role;
        callCore([&](TimePoint now, Outbox &out) { m_core->peerUp(now, peer, out); });
    };
    handlers.down = [this](Incarnation peer) {
        m_linkedPeers.erase(peer);
        const LinkChanges changes = m_linkPlan.dropEntry(peer);
        for (const std::string &address : changes.forget)
            m_peers->forget(address);
        callCore([&](TimePoint now, Outbox &out) { m_core->peerDown(now, peer, out); });
    };
    handlers.received = [this](Incarnation from, Message message) {
        received(from, std::move(message));
    };
    handlers.heartbeat = [this] {
        Heartbeat heartbeat = m_core->heartbeat(m_timers.now());
        heartbeat.sequence = ++m_heartbeatSequence;
        heartbeat.configVersion = m_config.version;
        return heartbeat;
    };
    BOOST_LEAF_ASSIGN(m_peers,
                      PeerNode::create(m_context, m_timers, m_metrics,
                                       peerSettings(m_settings.process), m_self, handlers));

    ConnectServerSettings upstream;
    upstream.endpoint = m_settings.upstreamListen;
    BOOST_LEAF_ASSIGN(m_upstreamServer, ConnectServer::create(m_context, upstream));
    ConnectServerSettings admin;
    admin.endpoint = m_settings.process.adminListen;
    BOOST_LEAF_ASSIGN(m_adminServer, ConnectServer::create(m_context, admin));

    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Timers, m_timers));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Metrics, m_metrics));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Peers, *m_peers));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Upstream, m_runner));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::AdminServer, *m_adminServer));

    registerHandlers();
    for (const std::string &address : m_linkPlan.addresses())
        m_peers->dial(address);
    scheduleWakeup();
    LogEvent(LogLevel::Info, "agent_started")
        .field("name", m_self.name)
        .field("incarnation", toString(m_self.incarnation))
        .field("peer_address", m_self.address);
    return {};
}

void AgentDaemon::registerHandlers()
{
    m_upstreamServer->handle<bluebellquay::v1::AnnounceRequest, bluebellquay::v1::AnnounceResponse>(
        "bluebellquay.v1.UpstreamRegistry/Announce",
        [this](const bluebellquay::v1::AnnounceRequest &request, const CallContext &, auto done) {
            if (request.slots() == 0 || request.connections() < request.slots())
                return done(ConnectError{ConnectCode::InvalidArgument,
                                         "slots must be above 0 and at most connections"});
            if (!handleAnnouncement(request))
                return done(ConnectError{ConnectCode::InvalidArgument,
                                         "address must be an IP number and port"});
            done(bluebellquay::v1::AnnounceResponse());
        });
    m_upstreamServer->handle<bluebellquay::v1::LeaveRequest, bluebellquay::v1::LeaveResponse>(
        "bluebellquay.v1.UpstreamRegistry/Leave",
        [this](const bluebellquay::v1::LeaveRequest &request, const CallContext &, auto done) {
            if (!m_runner.connectedTo(request.incarnation()))
                return done(ConnectError{ConnectCode::FailedPrecondition,
                                         "another upstream has announced itself since"});
            LogEvent(LogLevel::Info, "upstream_leaving").field("running", m_runner.running());
            callCore([&](TimePoint now, Outbox &out) { m_core->upstreamLeaving(now, out); });
            bluebellquay::v1::LeaveResponse response;
            response.set_running(static_cast<std::uint32_t>(m_runner.running()));
            done(response);
        });
    m_adminServer->handleGet("/metrics", [this] {
        m_coreMetrics.update(m_core->statistics(), m_core->heartbeat(m_timers.now()));
        m_metrics.gauge("bluebellquay_config_version")
            .set(static_cast<double>(m_config.version.value()));
        return PlainResponse{200, "text/plain; version=0.0.4", m_metrics.toPrometheusText()};
    });
    m_adminServer->handleGet("/healthz", [] { return PlainResponse{200, {}, "ok\n"}; });
    m_adminServer->handleGet("/readyz", [this] {
        return ready() ? PlainResponse{200, {}, "ready\n"} : PlainResponse{503, {}, "not ready\n"};
    });
    m_announcementCheck = m_timers.every(AnnouncementCheckInterval,
                                         [this](TimePoint now) { checkAnnouncements(now); });
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error)
            beginStop("signal");
    });
}

template <typename Call>
void AgentDaemon::callCore(Call &&call)
{
    Outbox out = std::exchange(m_outbox, {});
    const AgentState before = m_core->state();
    call(m_timers.now(), out);
    applyEffects(out);
    // Tells the peers at once that this agent is leaving or serving again.
    if (m_core->state() != before)
        m_peers->sendHeartbeats();
    scheduleWakeup();
}

void AgentDaemon::applyEffects(Outbox &out)
{
    for (const Envelope &envelope : out.messages)
        m_peers->send(envelope.to, envelope.message);
    for (StartTask &start : out.starts)
        m_runner.start(std::move(start));
    for (const StopTask &stop : out.stops)
        m_runner.stop(stop.task);
    out.clear();
    // Reuses the allocated capacity of the outbox in the next call.
    m_outbox = std::move(out);
}

void AgentDaemon::scheduleWakeup()
{
    const std::optional<TimePoint> next = m_core->nextWakeup();
    if (!next) {
        m_wakeup.cancel();
        return;
    }
    m_wakeup = m_timers.at(*next, [this](TimePoint) {
        callCore([&](TimePoint now, Outbox &out) { m_core->advance(now, out); });
    });
}

void AgentDaemon::received(Incarnation from, Message message)
{
    if (auto *document = std::get_if<ConfigDocument>(&message))
        return adoptConfig(from, std::move(*document));
    if (const auto *request = std::get_if<ConfigRequest>(&message))
        return sendConfig(from, request->above);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        requestNewerConfig(from, heartbeat->configVersion);
    if (const auto *directory = std::get_if<Directory>(&message)) {
        const LinkChanges changes = m_linkPlan.update(from, *directory);
        for (const std::string &address : changes.forget)
            m_peers->forget(address);
        for (const std::string &address : changes.dial)
            m_peers->dial(address);
    }
    callCore(
        [&](TimePoint now, Outbox &out) { m_core->handle(now, from, std::move(message), out); });
}

void AgentDaemon::adoptConfig(Incarnation from, ConfigDocument document)
{
    if (document.version <= m_config.version)
        return;
    const auto reject = [&](std::string_view why) {
        m_metrics.counter("bluebellquay_config_rejected_total").add();
        LogEvent(LogLevel::Error, "rules_rejected")
            .field("version", document.version.value())
            .field("from", toString(from))
            .field("findings", why);
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(parsed, RulesDocument::parse(document.text, "rules.toml"));
            m_config = std::move(document);
            callCore([&](TimePoint now, Outbox &out) {
                m_core->setRules(now, m_config.version, parsed.rules(), out);
            });
            LogEvent(LogLevel::Info, "rules_in_force").field("version", m_config.version.value());
            m_peers->sendHeartbeats();
            return {};
        },
        [&](const Findings &findings) { reject(toString(findings)); },
        [&] { reject("unknown error"); });
}

void AgentDaemon::sendConfig(Incarnation to, ConfigVersion above)
{
    if (m_config.version > above)
        m_peers->send(to, m_config);
}

void AgentDaemon::requestNewerConfig(Incarnation from, ConfigVersion offered)
{
    if (offered > m_config.version)
        m_peers->send(from, ConfigRequest{m_config.version});
}

bool AgentDaemon::handleAnnouncement(const bluebellquay::v1::AnnounceRequest &request)
{
    const bool replaces = !m_runner.connectedTo(request.incarnation());
    if (!replaces || m_runner.running() == 0)
        return adoptUpstream(request);
    if (!m_replacement) {
        m_replacementSince = m_timers.now();
        LogEvent(LogLevel::Info, "upstream_replaced").field("running", m_runner.running());
        callCore([&](TimePoint now, Outbox &out) { m_core->upstreamSilent(now, out); });
    }
    m_replacement = request;
    return true;
}

bool AgentDaemon::adoptUpstream(const bluebellquay::v1::AnnounceRequest &request)
{
    if (!m_runner.connect(request.incarnation(), request.address(), request.connections()))
        return false;
    m_replacement.reset();
    if (!m_announced) {
        LogEvent(LogLevel::Info, "upstream_announced")
            .field("address", request.address())
            .field("slots", request.slots());
    }
    m_announced = true;
    m_lastAnnouncement = m_timers.now();
    callCore([&](TimePoint now, Outbox &out) {
        m_core->upstreamAnnounced(now, capacityOf(request), out);
    });
    return true;
}

void AgentDaemon::adoptReplacement()
{
    if (!m_replacement)
        return;
    const bool timedOut = m_timers.now() - m_replacementSince >= ReplacementTimeout;
    if (m_runner.running() == 0 || timedOut)
        adoptUpstream(*std::exchange(m_replacement, std::nullopt));
}

// Handles a refused connection, which means that the upstream is down. Otherwise the agent would
// pull and return tasks in a tight loop until the announcements time out.
void AgentDaemon::upstreamUnreachable(TimePoint now, Outbox &out)
{
    if (!m_announced)
        return;
    m_announced = false;
    LogEvent(LogLevel::Warning, "upstream_unreachable").field("running", m_runner.running());
    m_core->upstreamSilent(now, out);
}

void AgentDaemon::checkAnnouncements(TimePoint now)
{
    adoptReplacement();
    if (!m_announced || now - m_lastAnnouncement < m_settings.announceTimeout)
        return;
    m_announced = false;
    LogEvent(LogLevel::Warning, "upstream_silent").field("running", m_runner.running());
    callCore([&](TimePoint time, Outbox &out) { m_core->upstreamSilent(time, out); });
}

void AgentDaemon::taskEnded(const TaskKey &task, RunEnd end, const TaskOutcome &outcome)
{
    if (end == RunEnd::Finished)
        m_runTimes.record(std::chrono::duration<double>(outcome.runTime).count());
    callCore([&](TimePoint now, Outbox &out) {
        switch (end) {
        case RunEnd::Finished:
            return m_core->taskFinished(now, task, outcome, out);
        case RunEnd::NotStarted:
            upstreamUnreachable(now, out);
            return m_core->taskNotStarted(now, task, out);
        case RunEnd::Lost:
            return m_core->taskLost(now, task, out);
        }
    });
    adoptReplacement();
}

bool AgentDaemon::ready() const
{
    const bool entryLinked =
        std::any_of(m_linkedPeers.begin(), m_linkedPeers.end(),
                    [](const auto &peer) { return peer.second == ProcessRole::Entry; });
    return m_stopPhase == StopPhase::Running && entryLinked
        && m_core->state() == AgentState::Serving;
}

void AgentDaemon::beginStop(std::string_view cause)
{
    if (m_stopPhase != StopPhase::Running)
        return;
    LogEvent(LogLevel::Info, "stopping").field("cause", cause);
    m_stopPhase = StopPhase::Finishing;
    m_stopDeadline = m_timers.now() + m_settings.process.stopTimeout;
    callCore([&](TimePoint now, Outbox &out) { m_core->beginStop(now, out); });
    m_stopCheck = m_timers.every(StopCheckInterval, [this](TimePoint) { continueStop(); });
}

void AgentDaemon::continueStop()
{
    if (m_stopPhase != StopPhase::Finishing)
        return;
    const bool finished = m_core->stopped() && m_runner.running() == 0;
    if (!finished && m_timers.now() < m_stopDeadline)
        return;
    if (!finished)
        LogEvent(LogLevel::Warning, "stop_timeout").field("running", m_runner.running());
    closeListeners();
}

void AgentDaemon::closeListeners()
{
    m_stopPhase = StopPhase::Closing;
    m_stopCheck.cancel();
    m_announcementCheck.cancel();
    m_wakeup.cancel();
    m_openListeners = 3;
    const auto closed = [this] {
        if (--m_openListeners > 0)
            return;
        LogEvent(LogLevel::Info, "stopped").field("name", m_self.name);
        m_context.stop();
    };
    m_peers->stop(closed);
    m_upstreamServer->stop(closed);
    m_adminServer->stop(closed);
}

} // namespace Bluebellquay
