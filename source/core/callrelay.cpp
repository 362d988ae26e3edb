#include "core/callrelay.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

// Upper limit of the time reserved for an answer to reach the caller before its timeout.
constexpr Duration MaxAnswerMargin{50'000};

// For short timeouts, a tenth of the timeout is reserved for returning the answer.
constexpr int AnswerMarginDivisor = 10;

bool waitsForFinalAnswer(const OpenCall &call)
{
    if (call.kind == CallKind::Await)
        return true;
    const auto *submit = std::get_if<Submit>(call.message.get());
    return submit != nullptr && !submit->detach;
}

// An answer with fewer or more outputs than tasks is partial or belongs to another job.
bool isComplete(const OpenCall &call, const Reply &reply)
{
    if (!reply.answer)
        return false;
    if (reply.answer->outcome != Outcome::Completed)
        return reply.answer->outputs.empty();
    const auto *submit = std::get_if<Submit>(call.message.get());
    return submit == nullptr || reply.answer->outputs.size() == submit->job.tasks.size();
}

CallError notSeenError(CallKind kind)
{
    // The home has no room for a record, or the id is not issued yet.
    if (kind == CallKind::Submit || kind == CallKind::Refuse)
        return {CallErrorKind::Unavailable,
                "the home can't record the submission now; submit again with this id"};
    return {CallErrorKind::NotFound, "id: no submission so far; one under way may still arrive"};
}

} // namespace

CallRelay::CallRelay(CallRelaySettings settings, const ProcessDirectory &directory,
                     EntryStatistics &statistics)
    : m_settings(settings)
    , m_directory(directory)
    , m_statistics(statistics)
{ }

void CallRelay::open(TimePoint now, OpenCall call, std::optional<Duration> timeout,
                     EntryOutbox &out)
{
    const Route route =
        m_directory.route(call.kind == CallKind::Drain ? call.target : call.id.home());
    call.target = route.target;
    const Duration limit =
        std::min(timeout.value_or(m_settings.defaultTimeout), m_settings.maxTimeout);
    call.callerDeadline = now + limit - std::min(limit / AnswerMarginDivisor, MaxAnswerMargin);
    call.deadline = call.callerDeadline;
    if (route.kind == RouteKind::NeverSeen)
        call.deadline = std::min(call.deadline, now + m_settings.unknownHomeTimeout);
    OpenCall &opened = m_calls.add(std::move(call));
    if (route.kind == RouteKind::Gone)
        return finishUnknown(opened, Reason::HomeGone, "the home of this id is gone", out);
    if (route.kind == RouteKind::Linked)
        send(opened, out);
}

void CallRelay::handleReply(Incarnation from, Reply reply, EntryOutbox &out)
{
    OpenCall *call = m_calls.find(reply.correlation);
    // A final answer of the home itself stays valid after its successor was asked.
    const bool expected = call != nullptr && call->kind != CallKind::Drain && call->sent
        && call->id == reply.id
        && (from == call->target || (from == call->id.home() && reply.kind == ReplyKind::Final));
    if (!expected) {
        ++m_statistics.repliesIgnored;
        return;
    }
    finishReply(*call, from, std::move(reply), out);
}

void CallRelay::finishReply(OpenCall &call, Incarnation from, Reply reply, EntryOutbox &out)
{
    switch (reply.kind) {
    case ReplyKind::Final:
        return finishFinal(call, std::move(reply), out);
    case ReplyKind::Running:
        if (waitsForFinalAnswer(call))
            return;
        return finish(call, SubmissionState{reply.id, std::nullopt, reply.progress}, out);
    case ReplyKind::BodyMismatch:
        return finish(call,
                      CallError{CallErrorKind::AlreadyExists,
                                "id: was used with another job; reserve an id for each job"},
                      out);
    case ReplyKind::WrongHome:
        // Only a successor can say that the records are nowhere. A home that denies an id of its
        // own is handing over.
        return finishUnknown(call, from == call.id.home() ? Reason::HomeSilent : Reason::HomeGone,
                             "the home has no records of its own any more", out);
    case ReplyKind::NotSeen:
        return finish(call, notSeenError(call.kind), out);
    }
    ++m_statistics.repliesInvalid;
}

void CallRelay::finishFinal(OpenCall &call, Reply reply, EntryOutbox &out)
{
    if (!isComplete(call, reply)) {
        ++m_statistics.repliesInvalid;
        return finishUnknown(call, Reason::HomeSilent, "the home sent an incomplete answer", out);
    }
    finish(call, SubmissionState{reply.id, std::move(reply.answer), reply.progress}, out);
}

void CallRelay::handleDrainAck(Incarnation from, const DrainAck &ack, EntryOutbox &out)
{
    OpenCall *call = m_calls.find(ack.correlation);
    if (call == nullptr || call->kind != CallKind::Drain || call->target != from) {
        ++m_statistics.repliesIgnored;
        return;
    }
    finish(*call, DrainState{ack.state}, out);
}

void CallRelay::callerLeft(CallId id, EntryOutbox &out)
{
    OpenCall *call = m_calls.findByCall(id);
    if (call == nullptr)
        return;
    ++m_statistics.callersLeft;
    sendStopWaiting(*call, out);
    m_calls.remove(*call);
}

void CallRelay::linkUp(Incarnation peer, EntryOutbox &out)
{
    for (OpenCall *call : m_calls.callsTo(peer))
        send(*call, out);
}

void CallRelay::homeSucceeded(Incarnation home, EntryOutbox &out)
{
    for (OpenCall *call : m_calls.callsTo(home)) {
        if (call->kind == CallKind::Drain)
            continue;
        const Route route = m_directory.route(call->id.home());
        m_calls.retarget(*call, route.target);
        if (route.kind == RouteKind::Linked)
            send(*call, out);
        else if (route.kind == RouteKind::Gone)
            finishUnknown(*call, Reason::HomeGone, "the successor of the home is gone", out);
    }
}

void CallRelay::homesGone(const std::vector<Incarnation> &homes, EntryOutbox &out)
{
    for (const Incarnation home : homes) {
        for (OpenCall *call : m_calls.callsTo(home))
            finishUnknown(*call, Reason::HomeGone, "the home of this id is gone", out);
    }
}

void CallRelay::advance(TimePoint now, EntryOutbox &out)
{
    for (OpenCall *call = m_calls.next(); call != nullptr && call->deadline <= now;
         call = m_calls.next()) {
        sendStopWaiting(*call, out);
        finishUnknown(*call, Reason::HomeSilent, "the home has not answered in time", out);
    }
}

void CallRelay::endAll(EntryOutbox &out)
{
    for (OpenCall *call : m_calls.all()) {
        sendStopWaiting(*call, out);
        finishUnknown(*call, Reason::HomeSilent, "this entry is stopping", out);
    }
}

std::optional<TimePoint> CallRelay::nextDeadline()
{
    const OpenCall *call = m_calls.next();
    return call == nullptr ? std::nullopt : std::optional(call->deadline);
}

void CallRelay::send(OpenCall &call, EntryOutbox &out)
{
    if (call.sent)
        ++m_statistics.callsResent;
    call.sent = true;
    // If the home was unknown when the call was opened, its deadline was shortened; the home is
    // connected now and gets the caller's whole timeout.
    if (call.deadline != call.callerDeadline)
        m_calls.reschedule(call, call.callerDeadline);
    out.send(call.target, call.message);
}

void CallRelay::finish(OpenCall &call, CallResult result, EntryOutbox &out)
{
    out.end(call.call, std::move(result));
    m_calls.remove(call);
}

void CallRelay::finishUnknown(OpenCall &call, Reason reason, std::string detail, EntryOutbox &out)
{
    if (call.kind == CallKind::Drain) {
        return finish(call,
                      CallError{CallErrorKind::Unavailable,
                                "agent: does not answer; whether it drains is not known"},
                      out);
    }
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = reason;
    answer.detail = std::move(detail);
    if (reason == Reason::HomeSilent) {
        answer.detail += "; ask again with this id";
        answer.retryAfter = m_settings.silentRetryAfter;
    }
    finish(call, SubmissionState{call.id, std::move(answer), {}}, out);
}

void CallRelay::sendStopWaiting(const OpenCall &call, EntryOutbox &out) const
{
    const KnownProcess *target = m_directory.find(call.target);
    if (call.kind != CallKind::Drain && call.sent && target != nullptr && target->linked)
        out.send(call.target, StopWaiting{call.correlation});
}

} // namespace Bluebellquay
