// Private part of HttpServer: accepts connections, bounds their number and enforces their
// deadlines.
#pragma once

#include "kernel/logthrottle.h"
#include "net/connectionend.h"
#include "net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <unordered_set>
#include <utility>

namespace Bluebellquay {

class HttpServer::Listener : public std::enable_shared_from_this<HttpServer::Listener>
{
public:
    Listener(boost::asio::io_context &context, TimerService &timers, HttpServerSettings settings,
             HttpHandler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_timers(timers)
        , m_acceptor(context)
    { }

    boost::leaf::result<void> open();
    void accept();
    void shutDown();
    void sweep();
    bool idle() const;
    void closeIdleConnections();
    unsigned short port() const { return m_port; }

    const HttpServerSettings &settings() const { return m_settings; }
    TimePoint now() const { return m_timers.now(); }
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        if (m_handler)
            m_handler(request, exchange);
    }
    void remove(Session *session) { m_sessions.erase(session); }
    // The unfinished request of the session takes this much memory now. May refuse a request, this
    // one also.
    void setUnfinished(Session &session, std::size_t bytes);
    std::size_t unfinishedBytes() const { return m_unfinishedBytes; }
    std::size_t mostUnfinishedBytes() const { return m_mostUnfinishedBytes; }
    LogThrottle &endLog() { return m_endLog; }

    bool closing = false;
    std::size_t openExchanges = 0;
    ConnectionEndCounts ends;
    UnansweredRequestCounts unanswered;

private:
    void startSweeping();
    void admit(boost::asio::ip::tcp::socket socket);
    // The session without progress for longest whose request is not whole, if any: of those with a
    // request, or of all.
    Session *longestWithoutProgress(bool withRequest) const;

    HttpServerSettings m_settings;
    HttpHandler m_handler;
    TimerService &m_timers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    unsigned short m_port = 0;
    // Sessions keep themselves alive by their pending operations and remove themselves at the end.
    std::unordered_set<Session *> m_sessions;
    // Sum over the sessions of what their unfinished requests take.
    std::size_t m_unfinishedBytes = 0;
    std::size_t m_mostUnfinishedBytes = 0;
    LogThrottle m_endLog;
    TimerSubscription m_sweep;
    TimerSubscription m_acceptRetry;
};

} // namespace Bluebellquay
