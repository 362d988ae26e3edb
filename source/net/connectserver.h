// Server of the Connect unary protocol over HTTP/1.1, by Boost.Beast. One listener; a daemon has
// one for callers, one for operators and one for health and metrics.
#pragma once

#include "base/coretime.h"
#include "net/connecterror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>
#include <google/protobuf/message.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Bluebellquay {

struct ConnectServerSettings
{
    boost::asio::ip::tcp::endpoint endpoint;
    // Larger request bodies are rejected with resource_exhausted.
    std::size_t maxBodyBytes = 8UL << 20;
    // A connection that has not sent a whole request within this time is closed.
    Duration requestTimeout{10'000'000};
    // An idle kept-alive connection is closed after this time.
    Duration idleTimeout{60'000'000};
    std::size_t maxConnections = 4096;
    // If set, each Connect call must carry it as bearer token.
    std::optional<std::string> bearerSecret;
};

// Reported by ConnectServer::create() when the endpoint can't be listened on.
struct ListenError
{
    std::string endpoint;
    std::string reason;
};

// What a handler learns about a call besides its message.
struct CallContext
{
    // From Connect-Timeout-Ms; nothing if the caller set none.
    std::optional<Duration> timeout;
    // The handler may put a function here before it returns. It is called, instead of the answer
    // being sent, if the caller's connection is found to be closed before the call is completed;
    // connections are checked about once per second.
    std::function<void()> *callerLeft = nullptr;
};

template <typename Response>
using ConnectResult = std::variant<Response, ConnectError>;

// Plain HTTP answer of a GET handler.
struct PlainResponse
{
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

// All handlers run on the thread of the io_context. A handler's completion may be called at once or
// later, once; it is ignored if the connection is gone by then. A completion that is destroyed
// without being called answers the call with internal. The server sets no timer for
// CallContext::timeout: only the handler knows what a caller must be told when time runs out.
class ConnectServer
{
public:
    static boost::leaf::result<std::unique_ptr<ConnectServer>>
    create(boost::asio::io_context &context, ConnectServerSettings settings);
    ~ConnectServer();

    // Serves POST /<method>, for example "bluebellquay.v1.Dispatcher/Submit".
    template <typename Request, typename Response>
    void handle(std::string method,
                std::function<void(const Request &, const CallContext &,
                                   std::function<void(ConnectResult<Response>)>)>
                    handler)
    {
        handleMethod(
            std::move(method),
            Method{[] { return std::make_unique<Request>(); },
                   [handler = std::move(handler)](const google::protobuf::Message &request,
                                                  const CallContext &context, RawDone done) {
                       handler(static_cast<const Request &>(request), context,
                               [done = std::move(done)](ConnectResult<Response> result) {
                                   if (const auto *error = std::get_if<ConnectError>(&result))
                                       done(nullptr, *error);
                                   else
                                       done(&std::get<Response>(result), {});
                               });
                   }});
    }

    // Serves GET <path>, for example "/metrics". No secret is asked for.
    void handleGet(std::string path, std::function<PlainResponse()> handler);

    // Port that is listened on; useful when the settings asked for port 0.
    unsigned short port() const;

    // Accepts no further connections; calls in progress are answered with "Connection: close" and
    // idle connections are closed. Calls back when the last connection has ended.
    void stop(std::function<void()> stopped);

private:
    using RawDone = std::function<void(const google::protobuf::Message *, const ConnectError &)>;
    struct Method
    {
        std::function<std::unique_ptr<google::protobuf::Message>()> newRequest;
        std::function<void(const google::protobuf::Message &, const CallContext &, RawDone)> invoke;
    };
    class Listener;
    class Session;

    explicit ConnectServer(std::shared_ptr<Listener> listener);
    void handleMethod(std::string path, Method method);

    std::shared_ptr<Listener> m_listener;
};

} // namespace Bluebellquay
