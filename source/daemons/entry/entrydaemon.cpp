#include "daemons/entry/entrydaemon.h"

#include "kernel/log.h"
#include "kernel/servicenames.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace Bluebellquay {

namespace {

// Part of the stop timeout that is reserved for sending the last answers and closing the links.
constexpr Duration LastAnswersTime{500'000};

ConnectServerSettings serverSettings(const boost::asio::ip::tcp::endpoint &endpoint)
{
    ConnectServerSettings settings;
    settings.endpoint = endpoint;
    return settings;
}

std::string addressText(boost::asio::ip::tcp::endpoint endpoint, unsigned short port)
{
    endpoint.port(port);
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace

boost::leaf::result<std::unique_ptr<EntryDaemon>>
EntryDaemon::create(boost::asio::io_context &context, EntrySettings settings)
{
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(context, std::move(settings)));
    BOOST_LEAF_CHECK(daemon->open());
    return daemon;
}

EntryDaemon::EntryDaemon(boost::asio::io_context &context, EntrySettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_incarnation(m_nonces.nextNumber())
    , m_signals(context, SIGTERM, SIGINT)
    , m_timers(context)
{ }

EntryDaemon::~EntryDaemon()
{
    // Closing the links calls handlers that check these pointers for null.
    m_config.reset();
    m_calls.reset();
}

boost::leaf::result<void> EntryDaemon::open()
{
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Timers, m_timers));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Metrics, m_metrics));
    BOOST_LEAF_CHECK(openServers());
    BOOST_LEAF_CHECK(openPeers());
    BOOST_LEAF_CHECK(openServices());
    waitForSignal();
    logStarted();
    return {};
}

boost::leaf::result<void> EntryDaemon::openServers()
{
    ConnectServerSettings caller = serverSettings(m_settings.callerListen);
    // Each call in progress has a connection; idle ones must not keep new callers out.
    caller.maxConnections = 2UL * m_settings.maxCalls;
    BOOST_LEAF_ASSIGN(m_callerServer, ConnectServer::create(m_context, std::move(caller)));
    ConnectServerSettings operators = serverSettings(m_settings.operatorListen);
    operators.bearerSecret = m_settings.operatorSecret;
    BOOST_LEAF_ASSIGN(m_operatorServer, ConnectServer::create(m_context, std::move(operators)));
    BOOST_LEAF_ASSIGN(
        m_adminServer,
        ConnectServer::create(m_context, serverSettings(m_settings.process.adminListen)));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::CallerServer, *m_callerServer));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::OperatorServer, *m_operatorServer));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::AdminServer, *m_adminServer));
    return {};
}

boost::leaf::result<void> EntryDaemon::openPeers()
{
    PeerNodeSettings settings;
    settings.endpoint = m_settings.process.peerListen;
    settings.secret = m_settings.process.peerSecret;
    settings.timing.heartbeatInterval = m_settings.process.heartbeatInterval;
    settings.timing.silenceTimeout = m_settings.process.silenceTimeout;
    BOOST_LEAF_ASSIGN(m_peers,
                      PeerNode::create(m_context, m_timers, m_metrics, std::move(settings), self(),
                                       peerHandlers()));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Peers, *m_peers));
    return {};
}

boost::leaf::result<void> EntryDaemon::openServices()
{
    BOOST_LEAF_ASSIGN(
        m_table,
        TableClient::create(m_context, {m_settings.tableAddress, m_settings.tableTimeout}));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Store, *m_table));

    EntryCoreSettings coreSettings;
    coreSettings.self = self();
    coreSettings.maxCalls = m_settings.maxCalls;
    coreSettings.seed = m_nonces.nextNumber();
    BOOST_LEAF_ASSIGN(m_calls, CallService::create(m_services, std::move(coreSettings), [this] {
                          return m_nonces.next();
                      }));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Calls, *m_calls));

    ConfigManagerSettings configSettings;
    configSettings.pollInterval = m_settings.configPollInterval;
    BOOST_LEAF_ASSIGN(m_config, ConfigService::create(m_services, configSettings, self()));
    BOOST_LEAF_CHECK(m_services.add(ServiceNames::Rules, *m_config));

    BOOST_LEAF_ASSIGN(m_callerApi, CallerApi::create(m_services));
    BOOST_LEAF_ASSIGN(m_operatorApi, OperatorApi::create(m_services));
    BOOST_LEAF_ASSIGN(m_adminApi, AdminApi::create(m_services));
    return {};
}

PeerHandlers EntryDaemon::peerHandlers()
{
    PeerHandlers handlers;
    handlers.up = [this](const ProcessInfo &peer) {
        if (m_calls)
            m_calls->peerUp(peer);
    };
    handlers.down = [this](Incarnation peer) {
        if (m_calls)
            m_calls->peerDown(peer);
        if (m_config)
            m_config->peerDown(peer);
    };
    handlers.received = [this](Incarnation from, Message message) {
        if (m_calls && m_config)
            received(from, std::move(message));
    };
    handlers.heartbeat = [this] {
        Heartbeat heartbeat;
        if (m_config)
            heartbeat.configVersion = m_config->keeper().version();
        return heartbeat;
    };
    return handlers;
}

void EntryDaemon::received(Incarnation from, Message message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        m_config->heartbeat(from, heartbeat->configVersion);
    else if (const auto *document = std::get_if<ConfigDocument>(&message))
        return m_config->received(from, *document);
    else if (const auto *request = std::get_if<ConfigRequest>(&message))
        return m_config->received(from, *request);
    m_calls->received(from, std::move(message));
}

ProcessInfo EntryDaemon::self() const
{
    const unsigned short port = m_peers ? m_peers->port() : m_settings.process.peerListen.port();
    ProcessInfo info;
    info.incarnation = m_incarnation;
    info.role = ProcessRole::Entry;
    info.name = m_settings.process.name;
    info.dataCentre = m_settings.process.dataCentre;
    info.region = m_settings.process.region;
    info.address = m_settings.process.peerAdvertise.empty()
        ? addressText(m_settings.process.peerListen, port)
        : m_settings.process.peerAdvertise;
    info.state = AgentState::Serving;
    return info;
}

void EntryDaemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        LogEvent(LogLevel::Info, "signal").field("number", signal);
        beginStop();
        waitForSignal();
    });
}

EntryPorts EntryDaemon::ports() const
{
    return {m_callerServer->port(), m_operatorServer->port(), m_adminServer->port(),
            m_peers->port()};
}

void EntryDaemon::logStarted() const
{
    const EntryPorts open = ports();
    LogEvent(LogLevel::Info, "started")
        .field("name", m_settings.process.name)
        .field("incarnation", toString(m_incarnation))
        .field("caller_port", open.caller)
        .field("operator_port", open.operators)
        .field("admin_port", open.admin)
        .field("peer_port", open.peer);
}

void EntryDaemon::beginStop()
{
    if (std::exchange(m_stopping, true))
        return;
    const TimePoint now = m_timers.now();
    const Duration limit = m_settings.process.stopTimeout;
    const Duration endCalls = std::max(limit / 2, limit - LastAnswersTime);
    const Duration grace = std::min(m_settings.drainGrace, endCalls);
    LogEvent(LogLevel::Info, "stop_begins").field("open_calls", m_calls->core().openCalls());
    m_adminApi->beginStop();
    m_drainTimer = m_timers.at(now + grace, [this](TimePoint) { stopServers(); });
    m_endCallsTimer = m_timers.at(now + endCalls, [this](TimePoint) { m_calls->endCalls(); });
    m_stopTimer = m_timers.at(now + limit, [this](TimePoint) { finishStop("timeout"); });
}

void EntryDaemon::stopServers()
{
    LogEvent(LogLevel::Info, "accepting_ends").field("open_calls", m_calls->core().openCalls());
    m_runningServers = 2;
    m_callerServer->stop([this] { serverStopped(); });
    m_operatorServer->stop([this] { serverStopped(); });
}

void EntryDaemon::serverStopped()
{
    if (--m_runningServers == 0)
        finishStop("finished");
}

void EntryDaemon::finishStop(std::string_view reason)
{
    if (std::exchange(m_finishing, true))
        return;
    LogEvent(LogLevel::Info, "stopped")
        .field("reason", reason)
        .field("open_calls", m_calls->core().openCalls());
    m_stopTimer =
        m_timers.at(m_timers.now() + LastAnswersTime, [this](TimePoint) { m_context.stop(); });
    m_peers->stop([this] { m_context.stop(); });
}

} // namespace Bluebellquay
