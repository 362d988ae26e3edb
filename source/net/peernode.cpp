#include "net/peernode.h"

#include "net/peerlinks.h"

#include <utility>

namespace Bluebellquay {

PeerNode::PeerNode(std::shared_ptr<PeerLinks> links)
    : m_links(std::move(links))
{ }

PeerNode::~PeerNode()
{
    m_links->shutDown();
}

boost::leaf::result<std::unique_ptr<PeerNode>>
PeerNode::create(boost::asio::io_context &context, TimerService &timers, Metrics &metrics,
                 PeerNodeSettings settings, ProcessInfo self, PeerHandlers handlers)
{
    auto links = std::make_shared<PeerLinks>(context, timers, metrics, std::move(settings),
                                             std::move(self), std::move(handlers));
    BOOST_LEAF_CHECK(links->listen());
    return std::unique_ptr<PeerNode>(new PeerNode(std::move(links)));
}

void PeerNode::dial(const std::string &address)
{
    m_links->dial(address);
}

void PeerNode::forget(const std::string &address)
{
    m_links->forget(address);
}

void PeerNode::dialAgain(const std::string &address)
{
    m_links->dialAgain(address);
}

bool PeerNode::send(Incarnation to, const Message &message)
{
    return m_links->send(to, message);
}

void PeerNode::sendHeartbeats()
{
    m_links->sendHeartbeats();
}

bool PeerNode::connected(Incarnation peer) const
{
    return m_links->connected(peer);
}

unsigned short PeerNode::port() const
{
    return m_links->port();
}

void PeerNode::stop(std::function<void()> stopped)
{
    m_links->stop(std::move(stopped));
}

} // namespace Bluebellquay
