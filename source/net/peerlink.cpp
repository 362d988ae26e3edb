#include "net/peerlink.h"

#include "kernel/log.h"
#include "kernel/suspension.h"

#include <boost/core/ref.hpp>
#include <boost/leaf.hpp>

#include <charconv>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr std::size_t HelloKind = 0;
static_assert(std::is_same_v<std::variant_alternative_t<HelloKind, Message>, Hello>);

} // namespace

PeerLink::PeerLink(PeerLinkOwner &owner, const PeerLinkContext &context,
                   std::shared_ptr<WebSocketConnection> connection, std::string dialedAddress)
    : m_owner(owner)
    , m_context(context)
    , m_connection(std::move(connection))
    , m_dialedAddress(std::move(dialedAddress))
    , m_openedAt(context.timers.now())
    , m_state(boost::ref(static_cast<LinkActions &>(*this)))
    , m_lastReceived(m_openedAt)
    , m_suspendedBefore(suspendedTime())
{ }

PeerLink::~PeerLink()
{
    abandon();
}

void PeerLink::start()
{
    const std::weak_ptr<PeerLink> weak = weak_from_this();
    const auto guarded = [weak](auto member) {
        return [weak, member](auto &&...arguments) {
            if (const auto self = weak.lock())
                (self.get()->*member)(std::forward<decltype(arguments)>(arguments)...);
        };
    };
    m_connection->setHandlers({guarded(&PeerLink::onOpened), guarded(&PeerLink::onFrame),
                               guarded(&PeerLink::onPong), guarded(&PeerLink::onClosed)});
    m_state.start();
    watchForSilence(m_lastReceived + timing().silenceTimeout);
}

PeerLink::Rank PeerLink::rank() const
{
    const Incarnation other = m_peer ? m_peer->incarnation : Incarnation();
    return Rank{dialed() ? m_context.self.incarnation : other, m_connection->number()};
}

bool PeerLink::send(const Message &message)
{
    const std::size_t before = m_batch.size();
    appendMessage(m_batch, message);
    const std::size_t bytes = m_batch.size() - before;
    const std::size_t limit = m_context.settings.maxFrameBytes - MaxFrameHeadBytes;
    if (bytes > limit) {
        m_batch.resize(before);
        m_context.metrics.droppedAsTooLarge();
        return false;
    }
    if (m_batch.size() > limit) {
        // The message goes into a frame of its own, behind the batch so far.
        const std::string last = m_batch.substr(before);
        m_batch.resize(before);
        flush();
        m_batch = last;
    }
    m_context.metrics.sent(message.index(), bytes);
    if (++m_batchMessages == 1)
        m_owner.flushWanted(*this);
    if (m_batchMessages == MaxMessagesPerFrame)
        flush();
    return true;
}

void PeerLink::flush()
{
    if (m_ended || m_batchMessages == 0)
        return;
    const auto guard = shared_from_this();
    const std::string head = encodeFrameHead(++m_lastSentSequence, m_batchMessages);
    const bool sent = m_connection->send(head, m_batch);
    m_batch.clear();
    m_batchMessages = 0;
    if (!sent)
        return; // The connection reports its end by itself.
    m_lastFrameSent = m_context.timers.now();
    m_context.metrics.frameSent();
    if (m_connection->unsentBytes() > m_context.settings.maxUnsentBytes)
        fail(LinkEnd::UnsentLimit);
}

void PeerLink::fail(LinkEnd reason)
{
    const auto guard = shared_from_this();
    m_state.process_event(LinkEvents::Failed{reason});
}

void PeerLink::stop(LinkEnd reason)
{
    const auto guard = shared_from_this();
    m_state.process_event(LinkEvents::StopRequested{reason});
}

void PeerLink::abandon()
{
    if (m_ended)
        return;
    m_ended = true;
    m_silence.cancel();
    m_heartbeats.cancel();
    m_connection->abandon();
}

void PeerLink::sendHello()
{
    send(Hello{m_context.self});
}

void PeerLink::announce()
{
    startHeartbeats();
    m_owner.linkUp(*this);
}

void PeerLink::startClosing(LinkEnd reason)
{
    m_stopReason = reason;
    flush();
    m_connection->close();
    m_heartbeats.cancel();
    // From here on the deadline is fixed: a peer that keeps sending must not delay the stop.
    m_silence = m_context.timers.at(m_context.timers.now() + timing().silenceTimeout,
                                    [weak = weak_from_this(), reason](TimePoint) {
                                        if (const auto self = weak.lock())
                                            self->fail(reason);
                                    });
}

void PeerLink::finish(LinkEnd reason)
{
    const LinkEnd counted = m_stopReason.value_or(reason);
    m_context.metrics.linkEnded(counted);
    abandon();
    m_owner.linkEnded(*this, counted);
}

void PeerLink::onOpened()
{
    m_state.process_event(LinkEvents::Opened());
}

void PeerLink::onClosed(LinkEnd end, const std::string &detail)
{
    LogEvent(LogLevel::Debug, "connection_closed")
        .field("reason", toString(end))
        .field("detail", detail);
    m_state.process_event(LinkEvents::Failed{end});
}

void PeerLink::onFrame(std::string_view frame)
{
    if (m_ended)
        return;
    // A process that was paused finds the frames that arrived meanwhile before its own timer. What
    // they ask for may be long out of date: the peer has given this process up.
    if (silentFor() >= timing().silenceTimeout) {
        m_state.process_event(LinkEvents::Failed{LinkEnd::Silent});
        return;
    }
    m_lastReceived = m_context.timers.now();
    m_suspendedBefore = suspendedTime();
    m_context.metrics.frameReceived();
    std::optional<DecodeError> rejected;
    DecodedFrame decoded = boost::leaf::try_handle_all(
        [&] { return decodeFrame(frame, m_context.settings.maxFrameBytes); },
        [&](DecodeError error) {
            rejected = error;
            return DecodedFrame();
        },
        [&] {
            rejected = DecodeError::Malformed;
            return DecodedFrame();
        });
    if (rejected) {
        m_context.metrics.frameRejected(*rejected);
        LogEvent(LogLevel::Warning, "frame_rejected")
            .field("peer", m_peer ? m_peer->name : m_connection->remoteAddress())
            .field("reason", toString(*rejected));
        m_state.process_event(LinkEvents::Failed{LinkEnd::FrameRejected});
        return;
    }
    if (decoded.sequence != m_lastReceivedSequence + 1) {
        m_state.process_event(LinkEvents::Failed{LinkEnd::SequenceGap});
        return;
    }
    m_lastReceivedSequence = decoded.sequence;
    deliver(std::move(decoded));
}

void PeerLink::deliver(DecodedFrame frame)
{
    for (ReceivedMessage &received : frame.messages) {
        if (m_ended)
            return;
        m_context.metrics.received(received.message.index(), received.encodedBytes);
        const bool isHello = received.message.index() == HelloKind;
        if (isHello == m_peer.has_value()) {
            m_state.process_event(LinkEvents::Failed{LinkEnd::NoHello});
            return;
        }
        if (isHello) {
            m_peer = std::move(std::get<Hello>(received.message).sender);
            m_state.process_event(LinkEvents::HelloReceived());
        } else {
            m_owner.messageReceived(*this, std::move(received.message));
        }
    }
}

void PeerLink::sendHeartbeat()
{
    send(m_owner.heartbeat());
}

void PeerLink::startHeartbeats()
{
    m_heartbeatPlan.emplace(timing().heartbeatInterval, timing().longestHeartbeatGap,
                            timing().pingInterval);
    pingIfDue(m_context.timers.now());
    m_heartbeats = m_context.timers.every(
        timing().heartbeatInterval, [weak = weak_from_this()](TimePoint now) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (self->m_heartbeatPlan->heartbeatDue(now, self->m_lastFrameSent))
                self->sendHeartbeat();
            self->pingIfDue(now);
        });
}

void PeerLink::pingIfDue(TimePoint now)
{
    if (m_heartbeatPlan->pingDue(now))
        m_connection->ping(std::to_string(now.time_since_epoch().count()));
}

void PeerLink::onPong(std::string_view payload)
{
    Duration::rep sent = 0;
    const auto [end, error] =
        std::from_chars(payload.data(), payload.data() + payload.size(), sent);
    const TimePoint now = m_context.timers.now();
    const TimePoint sentAt{Duration(sent)};
    const bool whole = error == std::errc() && end == payload.data() + payload.size();
    // Pings are sent from the introduction on.
    if (m_ended || !m_peer || !whole || sentAt < m_openedAt || sentAt > now)
        return;
    m_context.metrics.roundTrip(std::chrono::duration<double>(now - sentAt).count());
    m_owner.pingAnswered(*this, sentAt);
}

const LinkTiming &PeerLink::timing() const
{
    const PeerNodeSettings &settings = m_context.settings;
    const bool sameRole = m_peer && m_peer->role == m_context.self.role;
    return sameRole && settings.timingWithinRole ? *settings.timingWithinRole : settings.timing;
}

Duration PeerLink::silentFor() const
{
    return m_context.timers.now() - m_lastReceived + suspendedTime() - m_suspendedBefore;
}

void PeerLink::watchForSilence(TimePoint deadline)
{
    m_silence = m_context.timers.at(deadline, [weak = weak_from_this()](TimePoint now) {
        const auto self = weak.lock();
        if (!self)
            return;
        const TimePoint next = self->m_lastReceived + self->timing().silenceTimeout;
        // Until the peer has introduced itself, what it sends does not extend its time.
        if (!self->m_peer)
            self->fail(LinkEnd::HandshakeTimeout);
        else if (next <= now)
            self->fail(LinkEnd::Silent);
        else
            self->watchForSilence(next);
    });
}

} // namespace Bluebellquay
