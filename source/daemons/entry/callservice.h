// Runs the EntryCore of a daemon: hands calls, messages and time in and carries out what comes out.
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

    // Each calls back once, at once or later, unless callerLeft() is called before.
    CallId submit(const bluebellquay::v1::SubmitRequest &request, Timeout timeout, Done done);
    CallId await(std::string_view id, Timeout timeout, Done done);
    CallId cancel(std::string_view id, Timeout timeout, Done done);
    CallId status(std::string_view id, Timeout timeout, Done done);
    void drain(std::string_view agent, Timeout timeout, Done done);
    // The home is told that nobody waits any more. Does nothing if the call has ended.
    void callerLeft(CallId call);
    // The error carries a CallError.
    boost::leaf::result<ReservedIds> reserveIds(std::uint32_t count);

    void peerUp(const ProcessInfo &peer);
    void peerDown(Incarnation peer);
    // Every message but those of the configuration.
    void received(Incarnation from, Message message);

    void setRules(std::shared_ptr<const RuleSet> rules) { m_core->setRules(std::move(rules)); }
    void setEntries(std::vector<ProcessInfo> entries);
    // Ends all open calls with "unknown, ask again".
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
    // Does what is due, carries out the outbox and sets the timer.
    void finishTurn(TimePoint now);
    void deliver(TimePoint now);
    void arm();

    TimerService &m_timers;
    PeerNode &m_peers;
    EntryMetrics m_metrics;
    std::unique_ptr<EntryCore> m_core;
    std::unordered_map<CallId, PendingCall> m_pending;
    CallId m_lastCall;
    // Filled by the core and emptied at the end of each turn; two, to keep their memory.
    EntryOutbox m_out;
    EntryOutbox m_delivering;
    TimerSubscription m_timer;
    // What m_timer waits for; meaningless unless it is active.
    TimePoint m_armedFor;
};

} // namespace Bluebellquay
