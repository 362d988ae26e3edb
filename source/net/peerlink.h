// One link to a peer over one connection: hello, heartbeats, silence, sequence numbers, batching.
// Which of several links to a peer is used, and when to dial again, is decided by its owner.
#pragma once

#include "kernel/timerservice.h"
#include "net/heartbeatplan.h"
#include "net/linkmetrics.h"
#include "net/linkstate.h"
#include "net/messagecodec.h"
#include "net/peernode.h"
#include "net/websockettransport.h"

#include <memory>
#include <optional>
#include <string>

namespace Bluebellquay {

class PeerLink;

// What a link tells and asks its owner. The owner may end the link, and release it, in any call.
class PeerLinkOwner
{
public:
    PeerLinkOwner() = default;
    virtual ~PeerLinkOwner() = default;
    PeerLinkOwner(const PeerLinkOwner &) = delete;
    PeerLinkOwner &operator=(const PeerLinkOwner &) = delete;

    // The peer has introduced itself; link.peer() is set.
    virtual void linkUp(PeerLink &link) = 0;
    virtual void linkEnded(PeerLink &link, LinkEnd reason) = 0;
    virtual void messageReceived(PeerLink &link, Message message) = 0;
    // The peer has answered a ping that was sent then.
    virtual void pingAnswered(PeerLink &link, TimePoint sentAt) = 0;
    // The link has its first pending message since its last flush(): call flush() in a later turn
    // of the event loop.
    virtual void flushWanted(PeerLink &link) = 0;
    virtual Heartbeat heartbeat() = 0;
};

// What the links of one process share; outlives them.
struct PeerLinkContext
{
    TimerService &timers;
    LinkMetrics &metrics;
    const PeerNodeSettings &settings;
    const ProcessInfo &self;
};

class PeerLink final : private LinkActions, public std::enable_shared_from_this<PeerLink>
{
public:
    // Of two links between the same two processes, both of them keep the one that ranks higher: of
    // links with one dialler the later one, otherwise that of the smaller incarnation.
    struct Rank
    {
        Incarnation dialer;
        std::uint64_t number = 0;

        bool above(const Rank &other) const
        {
            return dialer == other.dialer ? number > other.number
                                          : dialer.value() < other.dialer.value();
        }
    };

    PeerLink(PeerLinkOwner &owner, const PeerLinkContext &context,
             std::shared_ptr<WebSocketConnection> connection, std::string dialedAddress);
    ~PeerLink() override;

    // Starts to listen to the connection and sets the deadline for its handshake.
    void start();

    // Adds the message to the pending batch. Returns false if it is too large for any frame.
    bool send(const Message &message);
    void sendHeartbeat();
    // Sends the pending batch as one frame.
    void flush();
    // Ends the link: at once, or after what is pending has been sent.
    void fail(LinkEnd reason);
    void stop(LinkEnd reason);
    // Ends the link without a word to the owner.
    void abandon();

    bool dialed() const { return !m_dialedAddress.empty(); }
    // Empty if the peer has dialled.
    const std::string &dialedAddress() const { return m_dialedAddress; }
    // Set once the peer has introduced itself.
    const std::optional<ProcessInfo> &peer() const { return m_peer; }
    // When the connection was dialled or accepted. A peer introduces itself after that.
    TimePoint openedAt() const { return m_openedAt; }
    Rank rank() const;

private:
    void sendHello() override;
    void announce() override;
    void startClosing(LinkEnd reason) override;
    void finish(LinkEnd reason) override;

    void onOpened();
    void onFrame(std::string_view frame);
    void onClosed(LinkEnd end, const std::string &detail);
    void onPong(std::string_view payload);
    void deliver(DecodedFrame frame);
    bool acceptHello(Message &message);
    // Which of the timings applies depends on the peer; until it is known, that of all links does.
    const LinkTiming &timing() const;
    // Time since the last frame, with the time for which the machine was suspended.
    Duration silentFor() const;
    void watchForSilence(TimePoint deadline);
    void startHeartbeats();
    void pingIfDue(TimePoint now);

    PeerLinkOwner &m_owner;
    const PeerLinkContext &m_context;
    std::shared_ptr<WebSocketConnection> m_connection;
    const std::string m_dialedAddress;
    const TimePoint m_openedAt;
    LinkState m_state;
    std::optional<ProcessInfo> m_peer;

    // Encoded messages of the next frame.
    std::string m_batch;
    std::size_t m_batchMessages = 0;
    std::uint64_t m_lastSentSequence = 0;
    std::uint64_t m_lastReceivedSequence = 0;
    // Set by finish(); nothing is sent or handed up afterwards.
    bool m_ended = false;
    // Why a drain was started; the end that the connection reports then is of no interest.
    std::optional<LinkEnd> m_stopReason;

    TimePoint m_lastReceived;
    // suspendedTime() when the last frame was received.
    Duration m_suspendedBefore;
    TimePoint m_lastFrameSent{};
    // Set while the link is up.
    std::optional<HeartbeatPlan> m_heartbeatPlan;
    TimerSubscription m_silence;
    TimerSubscription m_heartbeats;
};

} // namespace Bluebellquay
