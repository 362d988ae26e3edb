// The links of this process to its peers: dials, accepts, says hello, sends heartbeats, notices
// silence, batches messages and hands whole typed messages up.
#pragma once

#include "base/messages.h"
#include "kernel/metrics.h"
#include "kernel/timerservice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Bluebellquay {

struct LinkTiming
{
    Duration heartbeatInterval{500'000};
    // Heartbeats are left out on a link that carries other messages, for up to this long. Peers
    // must not rely on what heartbeats tell for less. At zero none is left out.
    Duration longestHeartbeatGap{0};
    // A link on which no whole frame has arrived for this long is abandoned.
    Duration silenceTimeout{2'000'000};
    // A ping costs both sides a frame. Its answer measures the round trip, and shows that the peer
    // was alive when the ping was sent (PeerHandlers::alive).
    Duration pingInterval{5'000'000};
};

struct PeerNodeSettings
{
    // Where peers reach this process.
    boost::asio::ip::tcp::endpoint endpoint;
    // Shared by all processes of the system; sent as bearer token in the upgrade request.
    std::string secret;
    LinkTiming timing;
    // For links to peers of this process's own role, if they differ.
    std::optional<LinkTiming> timingWithinRole;
    Duration minRedialDelay{100'000};
    Duration maxRedialDelay{2'000'000};
    std::size_t maxFrameBytes = 8UL << 20;
    // A link whose unsent bytes exceed this is abandoned: its peer does not read.
    std::size_t maxUnsentBytes = 64UL << 20;
    // Accepted connections whose peer has not introduced itself. Beyond this, the oldest one is
    // dropped for each new one.
    std::size_t maxPendingHandshakes = 512;
};

// Called on the thread of the io_context.
struct PeerHandlers
{
    // A link to this process is up. Called again for each new link to the same incarnation, after
    // which everything unanswered is to be sent again.
    std::function<void(const ProcessInfo &peer)> up;
    // The last link to this process is down. Nothing is known about what it received.
    std::function<void(Incarnation peer)> down;
    // Every message but Hello. Heartbeats are handed up, too.
    std::function<void(Incarnation from, Message message)> received;
    // The peer was alive at this time or later, by this process's clock and however late this is
    // read: it has answered what was sent to it then, a new link's upgrade or a ping. Called after
    // up(), and after everything that the peer had sent on the link before its answer.
    std::function<void(Incarnation peer, TimePoint at)> alive;
    // Supplies the heartbeat to send.
    std::function<Heartbeat()> heartbeat;
};

class PeerLinks;

class PeerNode
{
public:
    // Fails with TransportError (net/websockettransport.h).
    static boost::leaf::result<std::unique_ptr<PeerNode>>
    create(boost::asio::io_context &context, TimerService &timers, Metrics &metrics,
           PeerNodeSettings settings, ProcessInfo self, PeerHandlers handlers);
    ~PeerNode();

    // Keeps a link to this address (IP address:port) until forget(). Idempotent.
    void dial(const std::string &address);
    void forget(const std::string &address);
    // A process has started at this address just now: dials it at once, unless a link leads there
    // or the address is not dialled at all.
    void dialAgain(const std::string &address);

    // Queues the message; all messages of one turn of the event loop to one peer go in one frame.
    // Returns false, and counts it, if there is no link or the message
    // is too large for a frame: the message is dropped then.
    bool send(Incarnation to, const Message &message);
    // Sends a heartbeat on every link now, for a change of state that peers should know at once.
    void sendHeartbeats();

    bool connected(Incarnation peer) const;
    unsigned short port() const;

    // Closes all links after what is queued has been sent, then calls back.
    void stop(std::function<void()> stopped);

private:
    explicit PeerNode(std::shared_ptr<PeerLinks> links);

    std::shared_ptr<PeerLinks> m_links;
};

} // namespace Bluebellquay
