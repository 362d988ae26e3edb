// Runs the EntryCore of an entry process: passes calls, messages and timer events to the core, and
// carries out the effects that the core puts into its outbox.
#pragma once

#include "core/entrycore.h"
#include "daemons/entry/entrymetrics.h"
#include "kernel/serviceregistry.h"
#include "kernel/timerservice.h"
#include "net/peernode.h"

#include <boost/leaf.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Bluebellquay {

class CallService
{
public:
    using Done = std::function<void(CallResult)>;
    using Timeout = std::optional<Duration>;

    // Finds timers, metrics and peers in the registry.
    static boost::leaf::result<std::unique_ptr<CallService>>
    create(const ServiceRegistry &services, EntryCoreSettings settings, NonceSource nonces);

    // Each method invokes its callback exactly once, either before it returns or later, unless
    // callerLeft() is called first.
    CallId submit(const bluebellquay::v1::SubmitRequest &request, Timeout timeout, Done done);
    CallId await(std::string_view id, Timeout timeout, Done done);
    CallId cancel(std::string_view id, Timeout timeout, Done done);
    CallId status(std::string_view id, Timeout timeout, Done done);
    void drain(std::string_view agent, Timeout timeout, Done done);
    // Informs the home of the submission that the caller has disconnected. Does nothing if the call
    // has ended.
    void callerLeft(CallId call);
    // Fails with CallError.
    boost::leaf::result<ReservedIds> reserveIds(std::uint32_t count);

    void peerUp(const ProcessInfo &peer);
    void peerDown(Incarnation peer);
    // Handles all messages from peers except those about the configuration.
    void received(Incarnation from, Message message);

    void setRules(std::shared_ptr<const RuleSet> rules) { m_core->setRules(std::move(rules)); }
    void setEntries(std::vector<ProcessInfo> entries);
    // Ends all open calls with the outcome "unknown, ask again".
    void endCalls();

    const EntryCore &core() const { return *m_core; }
    EntryMetrics &metrics() { return m_metrics; }

private:
    struct PendingCall
    {
        Done done;
        EntryMethod method = EntryMethod::Submit;
        TimePoint start;
    };

    CallService(TimerService &timers, Metrics &metrics, PeerNode &peers,
                std::unique_ptr<EntryCore> core);

    CallId begin(TimePoint now, EntryMethod method, Done done);
    // Runs the work of the core that is due, carries out the outbox and sets the timer.
    void finishTurn(TimePoint now);
    void deliver(TimePoint now);
    void scheduleWakeup();

    TimerService &m_timers;
    PeerNode &m_peers;
    EntryMetrics m_metrics;
    std::unique_ptr<EntryCore> m_core;
    std::unordered_map<CallId, PendingCall> m_pending;
    CallId m_lastCall;
    // The core fills m_out. deliver() works on m_delivering; both keep their allocated memory.
    EntryOutbox m_out;
    EntryOutbox m_delivering;
    TimerSubscription m_timer;
    // Time at which m_timer fires; only valid while m_timer is active.
    TimePoint m_wakeupTime;
};

} // namespace Bluebellquay
