// Client of the Connect unary protocol over HTTP/1.1 with kept-alive connections to one address.
#pragma once

#include "base/coretime.h"
#include "net/connecterror.h"
#include "net/connectmessage.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf.hpp>
#include <google/protobuf/message.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Bluebellquay {

struct ConnectClientSettings
{
    // host:port, with an IP number as host.
    std::string address;
    // Calls above this number wait for a connection to become free.
    std::size_t maxConnections = 64;
    std::size_t maxBodyBytes = 8UL << 20;
    // Sent as bearer token if not empty.
    std::string bearerSecret;
    ConnectEncoding encoding = ConnectEncoding::Proto;
};

// Reported by ConnectClient::create() when the address is not an IP number and a port.
struct AddressError
{
    std::string address;
};

class ConnectPool;

class ConnectClient
{
public:
    static boost::leaf::result<std::unique_ptr<ConnectClient>>
    create(boost::asio::io_context &context, ConnectClientSettings settings);
    // Open calls end without calling back.
    ~ConnectClient();

    // Calls back once, on the thread of the io_context, never from within call(). A call is sent
    // once and never repeated by the client, so that a lost answer can't start anything twice: a
    // kept-alive connection that turns out to be closed before the request was written whole is
    // the only case that uses another connection. Ends with unavailable if the connection failed
    // before the request was written, unknown if it failed after that, deadline_exceeded after
    // the timeout.
    template <typename Response, typename Request>
    void call(std::string_view method, const Request &request, Duration timeout,
              std::function<void(ConnectResult<Response>)> done)
    {
        callRaw(method, request, timeout, std::make_unique<Response>(),
                [done = std::move(done)](const google::protobuf::Message *response,
                                         const ConnectError &error) {
                    if (response == nullptr)
                        done(error);
                    else
                        done(static_cast<const Response &>(*response));
                });
    }

private:
    using RawDone = std::function<void(const google::protobuf::Message *, const ConnectError &)>;

    explicit ConnectClient(std::shared_ptr<ConnectPool> pool);
    void callRaw(std::string_view method, const google::protobuf::Message &request,
                 Duration timeout, std::unique_ptr<google::protobuf::Message> response,
                 RawDone done);

    std::shared_ptr<ConnectPool> m_pool;
};

} // namespace Bluebellquay
