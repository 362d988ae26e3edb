#include "daemons/entry/callservice.h"

#include "kernel/log.h"
#include "kernel/servicenames.h"

#include <utility>

namespace Bluebellquay {

boost::leaf::result<std::unique_ptr<CallService>>
CallService::create(const ServiceRegistry &services, EntryCoreSettings settings, NonceSource nonces)
{
    BOOST_LEAF_AUTO(timers, services.find<TimerService>(ServiceNames::Timers));
    BOOST_LEAF_AUTO(metrics, services.find<Metrics>(ServiceNames::Metrics));
    BOOST_LEAF_AUTO(peers, services.find<PeerNode>(ServiceNames::Peers));
    BOOST_LEAF_AUTO(core, EntryCore::create(std::move(settings), std::move(nonces)));
    return std::unique_ptr<CallService>(
        new CallService(timers.get(), metrics.get(), peers.get(), std::move(core)));
}

CallService::CallService(TimerService &timers, Metrics &metrics, PeerNode &peers,
                         std::unique_ptr<EntryCore> core)
    : m_timers(timers)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_core(std::move(core))
{
    scheduleWakeup();
}

CallId CallService::submit(const bluebellquay::v1::SubmitRequest &request, Timeout timeout,
                           Done done)
{
    const TimePoint now = m_timers.now();
    const CallId call = begin(now, EntryMethod::Submit, std::move(done));
    m_core->submit(now, call, request, timeout, m_out);
    finishTurn(now);
    return call;
}

CallId CallService::await(std::string_view id, Timeout timeout, Done done)
{
    const TimePoint now = m_timers.now();
    const CallId call = begin(now, EntryMethod::Await, std::move(done));
    m_core->await(now, call, id, timeout, m_out);
    finishTurn(now);
    return call;
}

CallId CallService::cancel(std::string_view id, Timeout timeout, Done done)
{
    const TimePoint now = m_timers.now();
    const CallId call = begin(now, EntryMethod::Cancel, std::move(done));
    m_core->cancel(now, call, id, timeout, m_out);
    finishTurn(now);
    return call;
}

CallId CallService::status(std::string_view id, Timeout timeout, Done done)
{
    const TimePoint now = m_timers.now();
    const CallId call = begin(now, EntryMethod::Status, std::move(done));
    m_core->status(now, call, id, timeout, m_out);
    finishTurn(now);
    return call;
}

void CallService::drain(std::string_view agent, Timeout timeout, Done done)
{
    const TimePoint now = m_timers.now();
    const CallId call = begin(now, EntryMethod::Drain, std::move(done));
    LogEvent(LogLevel::Info, "drain_requested").field("agent", agent);
    m_core->drain(now, call, agent, timeout, m_out);
    finishTurn(now);
}

void CallService::callerLeft(CallId call)
{
    if (m_pending.erase(call) == 0)
        return;
    m_core->callerLeft(call, m_out);
    finishTurn(m_timers.now());
}

boost::leaf::result<ReservedIds> CallService::reserveIds(std::uint32_t count)
{
    return m_core->reserveIds(m_timers.now(), count);
}

void CallService::peerUp(const ProcessInfo &peer)
{
    const TimePoint now = m_timers.now();
    m_core->peerUp(now, peer, m_out);
    finishTurn(now);
}

void CallService::peerDown(Incarnation peer)
{
    const TimePoint now = m_timers.now();
    m_core->peerDown(now, peer);
    finishTurn(now);
}

void CallService::received(Incarnation from, Message message)
{
    const TimePoint now = m_timers.now();
    if (auto *reply = std::get_if<Reply>(&message))
        m_core->handle(from, std::move(*reply), m_out);
    else if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        m_core->handle(now, from, *heartbeat);
    else if (const auto *ack = std::get_if<DrainAck>(&message))
        m_core->handle(from, *ack, m_out);
    else if (const auto *succeeded = std::get_if<SuccessionNotice>(&message))
        m_core->handle(now, *succeeded, m_out);
    else
        m_core->countUnexpectedMessage();
    finishTurn(now);
}

void CallService::setEntries(std::vector<ProcessInfo> entries)
{
    m_core->setEntries(std::move(entries));
    finishTurn(m_timers.now());
}

void CallService::endCalls()
{
    LogEvent(LogLevel::Warning, "open_calls_ended").field("calls", m_core->openCalls());
    m_core->endCalls(m_out);
    finishTurn(m_timers.now());
}

CallId CallService::begin(TimePoint now, EntryMethod method, Done done)
{
    m_lastCall = m_lastCall.next();
    m_pending.emplace(m_lastCall, PendingCall{std::move(done), method, now});
    return m_lastCall;
}

void CallService::finishTurn(TimePoint now)
{
    m_core->advance(now, m_out);
    deliver(now);
    scheduleWakeup();
}

void CallService::deliver(TimePoint now)
{
    std::swap(m_out, m_delivering);
    for (const EntryEnvelope &envelope : m_delivering.messages) {
        // A call that can't be sent now is sent again when the link is restored.
        m_peers.send(envelope.to, *envelope.message);
    }
    for (CallEnd &end : m_delivering.ends) {
        const auto position = m_pending.find(end.call);
        if (position == m_pending.end())
            continue;
        const PendingCall pending = std::move(position->second);
        m_pending.erase(position);
        m_metrics.countResult(pending.method, end.result);
        m_metrics.recordTime(pending.method, now - pending.start);
        pending.done(std::move(end.result));
    }
    m_delivering.clear();
}

void CallService::scheduleWakeup()
{
    const TimePoint next = m_core->nextWakeup();
    if (m_timer.active() && m_wakeupTime <= next)
        return;
    m_wakeupTime = next;
    m_timer = m_timers.at(next, [this](TimePoint now) {
        m_timer = TimerSubscription();
        finishTurn(now);
    });
}

} // namespace Bluebellquay
