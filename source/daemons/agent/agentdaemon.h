// The agent process: connects AgentCore to its peers, its upstream, its operators and its clock.
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
    // Fails with std::string if a listener can't be opened.
    static boost::leaf::result<std::unique_ptr<AgentDaemon>>
    create(boost::asio::io_context &context, AgentSettings settings);

private:
    enum class StopPhase { Running, Finishing, Closing };

    AgentDaemon(boost::asio::io_context &context, AgentSettings settings);
    boost::leaf::result<void> open();
    void registerHandlers();

    // Runs a call into the core and carries out its effects.
    template <typename Call>
    void drive(Call &&call);
    void carryOut(Outbox &out);
    void scheduleWakeup();

    void received(Incarnation from, Message message);
    void takeConfig(Incarnation from, ConfigDocument document);
    void sendConfig(Incarnation to, ConfigVersion above);
    void requestNewerConfig(Incarnation from, ConfigVersion offered);
    // Takes an announcement of the connected upstream, or of another one that replaces it.
    bool announce(const bluebellquay::v1::AnnounceRequest &request);
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
    // Time of each finished task on the upstream.
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
    // Peers with a link.
    std::map<Incarnation, ProcessRole> m_linkedPeers;

    // Last announcement of the upstream; meaningless before the first one.
    TimePoint m_lastAnnouncement;
    bool m_announced = false;
    // Announcement of an upstream that waits until the calls to the earlier one have ended, so that
    // their outcome is learnt instead of given up.
    std::optional<bluebellquay::v1::AnnounceRequest> m_replacement;
    TimePoint m_replacementSince;

    Outbox m_outbox;
    TimerSubscription m_wakeup;
    TimerSubscription m_announcementCheck;
    TimerSubscription m_stopCheck;
    TimePoint m_stopDeadline;
    StopPhase m_stopPhase = StopPhase::Running;
    // Listeners that still have to report their end in phase Closing.
    int m_openListeners = 0;
};

} // namespace Bluebellquay
