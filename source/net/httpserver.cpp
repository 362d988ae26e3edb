#include "net/httpserver.h"

#include "net/httplistener.h"

#include <utility>

namespace Bluebellquay {

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto position = headers.find(boost::beast::string_view(name.data(), name.size()));
    if (position == headers.end())
        return {};
    return {position->value().data(), position->value().size()};
}

HttpServer::HttpServer(std::shared_ptr<Listener> listener)
    : m_listener(std::move(listener))
{ }

HttpServer::~HttpServer()
{
    m_listener->shutDown();
}

boost::leaf::result<std::unique_ptr<HttpServer>>
HttpServer::create(boost::asio::io_context &context, TimerService &timers,
                   HttpServerSettings settings, HttpHandler handler)
{
    auto listener =
        std::make_shared<Listener>(context, timers, std::move(settings), std::move(handler));
    BOOST_LEAF_CHECK(listener->open());
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
}

unsigned short HttpServer::port() const
{
    return m_listener->port();
}

std::size_t HttpServer::openExchanges() const
{
    return m_listener->openExchanges;
}

std::size_t HttpServer::unfinishedBytes() const
{
    return m_listener->unfinishedBytes();
}

std::size_t HttpServer::mostUnfinishedBytes() const
{
    return m_listener->mostUnfinishedBytes();
}

const ConnectionEndCounts &HttpServer::connectionEnds() const
{
    return m_listener->ends;
}

const UnansweredRequestCounts &HttpServer::unanswered() const
{
    return m_listener->unanswered;
}

bool HttpServer::idle() const
{
    return m_listener->idle();
}

void HttpServer::closeAfterResponse()
{
    m_listener->closing = true;
}

void HttpServer::closeIdleConnections()
{
    m_listener->closeIdleConnections();
}

} // namespace Bluebellquay
