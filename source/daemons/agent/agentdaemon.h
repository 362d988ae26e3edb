// The agent process: passes messages from peers, announcements of the upstream, ends of tasks and
// timer events to AgentCore, carries out the effects that it returns, and serves health and
// metrics.
#pragma once

#include "config/daemonsettings.h"
#include "core/agentcore.h"
#include "daemons/agent/coremetrics.h"
#include "daemons/agent/linkplan.h"
#include "daemons/agent/upstreamrunner.h"
#include "kernel/metrics.h"
#include "kernel/serviceregistry.h"
#include "kernel/timerservice.h"
#include "net/connectserver.h"
#include "net/peernode.h"

#include "bluebellquay/v1/upstream.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Bluebellquay {

class AgentDaemon
{
public:
    // Opens the listeners and starts the agent. Fails with std::string if a listener can't be
    // opened.
    static boost::leaf::result<std::unique_ptr<AgentDaemon>>
    create(boost::asio::io_context &context, AgentSettings settings);

private:
    enum class StopPhase { Running, Finishing, Closing };

    AgentDaemon(boost::asio::io_context &context, AgentSettings settings);
    boost::leaf::result<void> open();
    void registerHandlers();

    // Calls the core and then carries out the effects that it put into the outbox.
    template <typename Call>
    void callCore(Call &&call);
    void applyEffects(Outbox &out);
    void scheduleWakeup();

    void received(Incarnation from, Message message);
    void adoptConfig(Incarnation from, ConfigDocument document);
    void sendConfig(Incarnation to, ConfigVersion above);
    void requestNewerConfig(Incarnation from, ConfigVersion offered);
    // Handles an announcement of the connected upstream, or of another one that replaces it.
    bool handleAnnouncement(const bluebellquay::v1::AnnounceRequest &request);
    bool adoptUpstream(const bluebellquay::v1::AnnounceRequest &request);
    void adoptReplacement();
    void upstreamUnreachable(TimePoint now, Outbox &out);
    void checkAnnouncements(TimePoint now);
    void taskEnded(const TaskKey &task, RunEnd end, const TaskOutcome &outcome);
    bool ready() const;

    void beginStop(std::string_view cause);
    void continueStop();
    void closeListeners();

    boost::asio::io_context &m_context;
    AgentSettings m_settings;
    ProcessInfo m_self;
    TimerService m_timers;
    Metrics m_metrics;
    ServiceRegistry m_services;
    std::unique_ptr<AgentCore> m_core;
    CoreMetrics m_coreMetrics;
    // Run time of each task that finished on the upstream.
    TimeHistogram &m_runTimes;
    UpstreamRunner m_runner;
    LinkPlan m_linkPlan;
    std::unique_ptr<PeerNode> m_peers;
    std::unique_ptr<ConnectServer> m_upstreamServer;
    std::unique_ptr<ConnectServer> m_adminServer;
    boost::asio::signal_set m_signals;

    // The document in force; version zero if there is none yet. The version only rises.
    ConfigDocument m_config;
    std::uint64_t m_heartbeatSequence = 0;
    // Peers that have a link to this process, with their roles.
    std::map<Incarnation, ProcessRole> m_linkedPeers;

    // Time of the upstream's last announcement; only valid if m_announced is true.
    TimePoint m_lastAnnouncement;
    bool m_announced = false;
    // Announcement of a replacement upstream. It is adopted once the calls to the earlier upstream
    // have ended, so that the outcomes of their tasks are not lost.
    std::optional<bluebellquay::v1::AnnounceRequest> m_replacement;
    TimePoint m_replacementSince;

    Outbox m_outbox;
    TimerSubscription m_wakeup;
    TimerSubscription m_announcementCheck;
    TimerSubscription m_stopCheck;
    TimePoint m_stopDeadline;
    StopPhase m_stopPhase = StopPhase::Running;
    // Number of listeners that have not yet closed in phase Closing.
    int m_openListeners = 0;
};

} // namespace Bluebellquay
