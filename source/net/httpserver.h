// Plain HTTP/1.1 server by Boost.Beast for interfaces that are not ours to define: it hands whole
// requests up and takes one response for each. The Connect server (net/connectserver.h) serves the
// project's own interface.
#pragma once

#include "base/coretime.h"
#include "kernel/timerservice.h"
#include "net/connectionend.h"
#include "net/unansweredrequest.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/leaf.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

struct HttpServerSettings
{
    // Name of the listener in logs and metrics.
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    std::size_t maxHeaderBytes = 16UL << 10;
    std::size_t maxBodyBytes = 256UL << 10;
    // A connection that has sent part of a request for this long is closed.
    Duration requestTimeout{5'000'000};
    // A connection without a request is closed after this time.
    Duration idleTimeout{60'000'000};
    // What a client may still send, and for how long, after the last response on its connection,
    // so that it can read the response: closing a socket with unread bytes resets the connection.
    std::size_t maxDrainedBytes = 1UL << 20;
    Duration drainTimeout{2'000'000};
    // Beyond this, the connection that has been without progress for longest is closed for each new
    // one, unless its request is whole.
    std::size_t maxConnections = 2'000;
    // What unfinished requests may take together. Beyond this, the one that has been without
    // progress for longest is refused. Must hold several whole requests.
    std::size_t maxUnfinishedBytes = 64UL << 20;
};

struct HttpRequest
{
    std::string method;
    std::string target;
    std::string host;
    boost::beast::http::fields headers;
    std::string body;

    // Empty if there is no such header.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    // Sent as application/json; nothing is sent if it is empty.
    std::string body;
    // Whole seconds, if a Retry-After header is to be sent.
    std::optional<std::uint32_t> retryAfterSeconds;
};

// One request that waits for its response. May be answered at once or later, once. If the last
// reference goes without a response, or the handler throws, the server calls back onClosed() and
// answers 502: the request may have been carried out.
class HttpExchange
{
public:
    HttpExchange() = default;
    virtual ~HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    virtual void respond(HttpResponse response) = 0;
    // Called once if the request ends before respond() is called: the client closes the connection,
    // or the handler throws or lets the exchange go.
    virtual void onClosed(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(const HttpRequest &, const std::shared_ptr<HttpExchange> &)>;

// Handlers run on the thread of the io_context.
class HttpServer
{
public:
    // Fails with ListenError (net/connectserver.h).
    static boost::leaf::result<std::unique_ptr<HttpServer>> create(boost::asio::io_context &context,
                                                                   TimerService &timers,
                                                                   HttpServerSettings settings,
                                                                   HttpHandler handler);
    ~HttpServer();

    unsigned short port() const;
    // Requests that wait for their response.
    std::size_t openExchanges() const;
    // No request has begun or lies unread in a socket, every response has been handed to the
    // system, no client sends on behind its last one, and no connection is so new that its first
    // request is still expected.
    bool idle() const;
    // Memory that unfinished requests take, in bytes, and the most that they took.
    std::size_t unfinishedBytes() const;
    std::size_t mostUnfinishedBytes() const;
    // Connections that have ended, by reason.
    const ConnectionEndCounts &connectionEnds() const;
    // Requests that the server answered because their handler did not, by reason.
    const UnansweredRequestCounts &unanswered() const;
    // From now on each response closes its connection; idle connections stay until their next one.
    void closeAfterResponse();
    // Closes the connections on which no request has begun or is expected, so that their clients
    // learn it before they send. A request that arrives later is not read: the system resets its
    // connection.
    void closeIdleConnections();

private:
    class Exchange;
    class Listener;
    class Session;

    explicit HttpServer(std::shared_ptr<Listener> listener);

    std::shared_ptr<Listener> m_listener;
};

} // namespace Bluebellquay
