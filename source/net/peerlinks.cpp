#include "net/peerlinks.h"

#include "kernel/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Bluebellquay {

PeerLinks::PeerLinks(boost::asio::io_context &context, TimerService &timers, Metrics &metrics,
                     PeerNodeSettings settings, ProcessInfo self, PeerHandlers handlers)
    : m_io(context)
    , m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_metrics(metrics)
    , m_context{timers, m_metrics, m_settings, m_self}
    , m_timers(timers)
    , m_handlers(std::move(handlers))
{ }

PeerLinks::~PeerLinks()
{
    endAll();
}

boost::leaf::result<void> PeerLinks::listen()
{
    BOOST_LEAF_AUTO(transport,
                    WebSocketTransport::create(
                        m_io, {m_settings.endpoint, m_settings.secret, m_settings.maxFrameBytes},
                        [this](std::shared_ptr<WebSocketConnection> connection) {
                            if (!m_stopping)
                                accepted(std::move(connection));
                        }));
    m_transport = std::move(transport);
    return {};
}

unsigned short PeerLinks::port() const
{
    return m_transport ? m_transport->port() : 0;
}

std::shared_ptr<PeerLink> PeerLinks::adopt(std::shared_ptr<WebSocketConnection> connection,
                                           std::string dialedAddress)
{
    auto link = std::make_shared<PeerLink>(static_cast<PeerLinkOwner &>(*this), m_context,
                                           std::move(connection), std::move(dialedAddress));
    m_links.insert(link);
    link->start();
    return link;
}

void PeerLinks::accepted(std::shared_ptr<WebSocketConnection> connection)
{
    std::size_t pending = 0;
    std::shared_ptr<PeerLink> oldest;
    for (const auto &link : m_links) {
        if (link->dialed() || link->peer())
            continue;
        ++pending;
        if (!oldest || link->openedAt() < oldest->openedAt())
            oldest = link;
    }
    if (pending >= m_settings.maxPendingHandshakes)
        oldest->fail(LinkEnd::HandshakeLimit);
    adopt(std::move(connection), {});
}

void PeerLinks::dial(const std::string &address)
{
    if (m_stopping)
        return;
    const auto [position, inserted] = m_targets.try_emplace(address, m_settings);
    if (inserted)
        connect(address, position->second);
}

void PeerLinks::dialAgain(const std::string &address)
{
    const auto position = m_targets.find(address);
    if (m_stopping || position == m_targets.end())
        return;
    Target &target = position->second;
    if (target.link && target.link->peer())
        return;
    target.delay.reset();
    // An attempt that was begun while nobody listened may hang until its time-out.
    if (target.link)
        return target.link->fail(LinkEnd::Restarted);
    redial(address);
}

void PeerLinks::forget(const std::string &address)
{
    const auto position = m_targets.find(address);
    if (position == m_targets.end())
        return;
    const std::shared_ptr<PeerLink> link = position->second.link;
    m_targets.erase(position);
    if (link)
        link->stop(LinkEnd::Forgotten);
}

void PeerLinks::connect(const std::string &address, Target &target)
{
    m_metrics.dialed();
    if (auto connection = m_transport->dial(address, ++m_lastNumber)) {
        target.link = adopt(std::move(connection), address);
        return;
    }
    m_metrics.linkEnded(LinkEnd::ConnectFailed);
    if (target.failures++ == 0)
        LogEvent(LogLevel::Error, "peer_address_invalid").field("address", address);
    scheduleRedial(address, target);
}

void PeerLinks::scheduleRedial(const std::string &address, Target &target)
{
    target.redial = m_timers.at(m_timers.now() + target.delay.next(m_random),
                                [this, address](TimePoint) { redial(address); });
}

void PeerLinks::redial(const std::string &address)
{
    const auto position = m_targets.find(address);
    if (position == m_targets.end())
        return;
    Target &target = position->second;
    target.redial.cancel();
    if (target.peer && connected(*target.peer))
        scheduleRedial(address, target);
    else
        connect(address, target);
}

PeerLinks::Target *PeerLinks::targetOf(const PeerLink &link)
{
    const auto position = m_targets.find(link.dialedAddress());
    // A forgotten address may have been dialled again while the old link drains.
    const bool serves = position != m_targets.end() && position->second.link.get() == &link;
    return serves ? &position->second : nullptr;
}

void PeerLinks::linkUp(PeerLink &link)
{
    const std::shared_ptr<PeerLink> guard = link.shared_from_this();
    const ProcessInfo &peer = *link.peer();
    Target *const target = targetOf(link);
    if (target != nullptr)
        target->peer = peer.incarnation;
    if (peer.incarnation == m_self.incarnation) {
        link.fail(LinkEnd::SelfLink);
        return;
    }
    std::shared_ptr<PeerLink> &current = m_byPeer[peer.incarnation];
    if (current && current->rank().above(link.rank())) {
        link.fail(LinkEnd::Duplicate);
        return;
    }
    if (target != nullptr) {
        target->failures = 0;
        target->delay.reset();
    }
    const std::shared_ptr<PeerLink> replaced = std::exchange(current, guard);
    m_metrics.links(m_byPeer.size());
    LogEvent(LogLevel::Info, "link_up")
        .field("peer", peer.name)
        .field("incarnation", toString(peer.incarnation))
        .field("address", peer.address)
        .field("dialed", link.dialed() ? "yes" : "no");
    if (replaced)
        replaced->fail(LinkEnd::Replaced);
    if (m_handlers.up)
        m_handlers.up(peer);
    if (m_handlers.alive)
        m_handlers.alive(peer.incarnation, link.openedAt());
}

void PeerLinks::linkEnded(PeerLink &link, LinkEnd reason)
{
    const std::shared_ptr<PeerLink> guard = link.shared_from_this();
    m_links.erase(guard);
    bool wasUp = false;
    if (link.peer()) {
        const auto position = m_byPeer.find(link.peer()->incarnation);
        wasUp = position != m_byPeer.end() && position->second == guard;
        if (wasUp)
            m_byPeer.erase(position);
        m_metrics.links(m_byPeer.size());
    }
    logEnd(link, reason, wasUp);
    if (Target *const target = targetOf(link)) {
        target->link = nullptr;
        if (!link.peer() && target->failures++ == 0)
            LogEvent(LogLevel::Warning, "peer_unreachable")
                .field("address", link.dialedAddress())
                .field("reason", toString(reason));
        if (reason == LinkEnd::Restarted)
            connect(link.dialedAddress(), *target);
        else if (!m_stopping)
            scheduleRedial(link.dialedAddress(), *target);
    }
    if (wasUp && m_handlers.down)
        m_handlers.down(link.peer()->incarnation);
    if (m_stopping && m_links.empty())
        finishStop();
}

void PeerLinks::logEnd(const PeerLink &link, LinkEnd reason, bool wasUp) const
{
    if (link.peer()) {
        LogEvent(wasUp ? LogLevel::Info : LogLevel::Debug, "link_down")
            .field("peer", link.peer()->name)
            .field("incarnation", toString(link.peer()->incarnation))
            .field("reason", toString(reason));
        return;
    }
    LogEvent(LogLevel::Debug, "link_failed")
        .field("dialed", link.dialed() ? "yes" : "no")
        .field("reason", toString(reason));
}

void PeerLinks::messageReceived(PeerLink &link, Message message)
{
    if (m_handlers.received)
        m_handlers.received(link.peer()->incarnation, std::move(message));
}

void PeerLinks::pingAnswered(PeerLink &link, TimePoint sentAt)
{
    if (m_handlers.alive)
        m_handlers.alive(link.peer()->incarnation, sentAt);
}

Heartbeat PeerLinks::heartbeat()
{
    return m_handlers.heartbeat ? m_handlers.heartbeat() : Heartbeat();
}

bool PeerLinks::send(Incarnation to, const Message &message)
{
    const auto position = m_byPeer.find(to);
    if (position == m_byPeer.end()) {
        m_metrics.droppedWithoutLink();
        return false;
    }
    return position->second->send(message);
}

void PeerLinks::sendHeartbeats()
{
    std::vector<std::shared_ptr<PeerLink>> links;
    for (const auto &[peer, link] : m_byPeer)
        links.push_back(link);
    for (const auto &link : links)
        link->sendHeartbeat();
}

void PeerLinks::flushWanted(PeerLink &link)
{
    m_pending.push_back(link.shared_from_this());
    if (m_pending.size() > 1)
        return;
    boost::asio::post(m_io, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->flushPending();
    });
}

void PeerLinks::flushPending()
{
    const auto pending = std::exchange(m_pending, {});
    for (const auto &link : pending)
        link->flush();
}

void PeerLinks::stop(std::function<void()> stopped)
{
    m_stopping = true;
    m_stopped = std::move(stopped);
    m_transport->stopListening();
    m_targets.clear();
    const auto links = m_links;
    for (const auto &link : links)
        link->stop(LinkEnd::Stopping);
    if (m_links.empty())
        finishStop();
}

void PeerLinks::finishStop()
{
    if (m_stopped)
        boost::asio::post(m_io, std::exchange(m_stopped, nullptr));
}

void PeerLinks::shutDown()
{
    endAll();
    // The caller may be one of the handlers: they must live until it has returned.
    boost::asio::post(m_io, [self = shared_from_this()] {});
}

void PeerLinks::endAll()
{
    m_stopping = true;
    m_stopped = nullptr;
    m_targets.clear();
    m_byPeer.clear();
    m_pending.clear();
    for (const auto &link : std::exchange(m_links, {}))
        link->abandon();
    m_transport.reset();
}

} // namespace Bluebellquay
