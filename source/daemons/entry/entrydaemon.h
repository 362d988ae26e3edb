// The entry process: creates its services, connects them through the service registry, and stops
// them in order.
//
// A planned stop (SIGTERM, SIGINT) has these steps: the readiness check fails at once; after the
// drain grace the servers accept no further connections; calls in progress finish; calls that are
// still open shortly before the stop timeout end with "unknown, ask again"; the links are closed.
#pragma once

#include "config/daemonsettings.h"
#include "daemons/entry/adminapi.h"
#include "daemons/entry/callerapi.h"
#include "daemons/entry/callservice.h"
#include "daemons/entry/configservice.h"
#include "daemons/entry/noncepool.h"
#include "daemons/entry/operatorapi.h"
#include "kernel/metrics.h"
#include "kernel/serviceregistry.h"
#include "kernel/timerservice.h"
#include "net/connectserver.h"
#include "net/peernode.h"
#include "net/tableclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf.hpp>

#include <memory>

namespace Bluebellquay {

// Ports on which the process listens. They differ from the settings where these ask for port 0.
struct EntryPorts
{
    unsigned short caller = 0;
    unsigned short operators = 0;
    unsigned short admin = 0;
    unsigned short peer = 0;
};

class EntryDaemon
{
public:
    // The process listens on all its ports when this returns. Fails with ListenError, AddressError,
    // ServiceNotFound, ServiceNameTaken or std::string.
    static boost::leaf::result<std::unique_ptr<EntryDaemon>>
    create(boost::asio::io_context &context, EntrySettings settings);

    ~EntryDaemon();

    // Begins a planned stop, which ends with stopping the io_context. Further calls do nothing.
    void beginStop();

    EntryPorts ports() const;

private:
    EntryDaemon(boost::asio::io_context &context, EntrySettings settings);

    boost::leaf::result<void> open();
    boost::leaf::result<void> openServers();
    boost::leaf::result<void> openPeers();
    boost::leaf::result<void> openServices();
    PeerHandlers peerHandlers();
    void received(Incarnation from, Message message);
    ProcessInfo self() const;
    void waitForSignal();
    void logStarted() const;
    void stopServers();
    void serverStopped();
    void finishStop(std::string_view reason);

    boost::asio::io_context &m_context;
    EntrySettings m_settings;
    NoncePool m_nonces;
    Incarnation m_incarnation;
    boost::asio::signal_set m_signals;
    TimerService m_timers;
    Metrics m_metrics;
    ServiceRegistry m_services;
    // Members are destroyed in reverse order, so each one may use those above it.
    std::unique_ptr<ConnectServer> m_callerServer;
    std::unique_ptr<ConnectServer> m_operatorServer;
    std::unique_ptr<ConnectServer> m_adminServer;
    std::unique_ptr<TableClient> m_table;
    std::unique_ptr<PeerNode> m_peers;
    // Null until the services are created. Handlers of the links must check for null.
    std::unique_ptr<CallService> m_calls;
    std::unique_ptr<ConfigService> m_config;
    std::unique_ptr<CallerApi> m_callerApi;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<AdminApi> m_adminApi;
    bool m_stopping = false;
    bool m_finishing = false;
    int m_runningServers = 0;
    TimerSubscription m_drainTimer;
    TimerSubscription m_endCallsTimer;
    TimerSubscription m_stopTimer;
};

} // namespace Bluebellquay
