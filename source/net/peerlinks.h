// All links of a process: which of them leads to which peer, what is dialled and when.
#pragma once

#include "net/peerlink.h"
#include "net/peernode.h"
#include "net/redialdelay.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Bluebellquay {

// What PeerNode does; see there.
class PeerLinks final : private PeerLinkOwner, public std::enable_shared_from_this<PeerLinks>
{
public:
    PeerLinks(boost::asio::io_context &context, TimerService &timers, Metrics &metrics,
              PeerNodeSettings settings, ProcessInfo self, PeerHandlers handlers);
    ~PeerLinks() override;

    // Fails with TransportError.
    boost::leaf::result<void> listen();
    void dial(const std::string &address);
    void forget(const std::string &address);
    void dialAgain(const std::string &address);
    bool send(Incarnation to, const Message &message);
    void sendHeartbeats();
    bool connected(Incarnation peer) const { return m_byPeer.contains(peer); }
    unsigned short port() const;
    void stop(std::function<void()> stopped);
    // Ends everything at once; no handler is called afterwards.
    void shutDown();

private:
    // An address that this process keeps a link to.
    struct Target
    {
        explicit Target(const PeerNodeSettings &settings)
            : delay(settings.minRedialDelay, settings.maxRedialDelay)
        { }

        // At most one of link and redial is set.
        std::shared_ptr<PeerLink> link;
        TimerSubscription redial;
        // Who answered at this address last; while another link leads there, none is dialled.
        std::optional<Incarnation> peer;
        RedialDelay delay;
        // Failed attempts since the last link; only the first of them is logged.
        unsigned failures = 0;
    };
    using Targets = std::map<std::string, Target>;

    void linkUp(PeerLink &link) override;
    void linkEnded(PeerLink &link, LinkEnd reason) override;
    void messageReceived(PeerLink &link, Message message) override;
    void pingAnswered(PeerLink &link, TimePoint sentAt) override;
    void flushWanted(PeerLink &link) override;
    Heartbeat heartbeat() override;

    void accepted(std::shared_ptr<WebSocketConnection> connection);
    std::shared_ptr<PeerLink> adopt(std::shared_ptr<WebSocketConnection> connection,
                                    std::string dialedAddress);
    // The target that this link serves, or null.
    Target *targetOf(const PeerLink &link);
    void connect(const std::string &address, Target &target);
    void scheduleRedial(const std::string &address, Target &target);
    void redial(const std::string &address);
    void logEnd(const PeerLink &link, LinkEnd reason, bool wasUp) const;
    void flushPending();
    void finishStop();
    void endAll();

    boost::asio::io_context &m_io;
    const PeerNodeSettings m_settings;
    const ProcessInfo m_self;
    LinkMetrics m_metrics;
    // Refers to the members above.
    const PeerLinkContext m_context;
    TimerService &m_timers;
    PeerHandlers m_handlers;
    std::mt19937_64 m_random{std::random_device{}()};
    std::unique_ptr<WebSocketTransport> m_transport;
    std::uint64_t m_lastNumber = 0;

    Targets m_targets;
    // Every link that has not ended, in any state.
    std::set<std::shared_ptr<PeerLink>> m_links;
    // The one link to each peer that is up; each is in m_links, too.
    std::unordered_map<Incarnation, std::shared_ptr<PeerLink>> m_byPeer;
    // Links with a pending batch; flushed by a handler that is posted with the first of them.
    std::vector<std::shared_ptr<PeerLink>> m_pending;
    bool m_stopping = false;
    std::function<void()> m_stopped;
};

} // namespace Bluebellquay
