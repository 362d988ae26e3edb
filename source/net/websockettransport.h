// WebSocket connections between peers: a thin layer over websocketpp, so that only its source file
// includes that library. Knows the secret and binary frames, but no messages. It has no timeouts of
// its own: whoever holds a connection sets deadlines and calls abandon().
#pragma once

#include "net/linkend.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Bluebellquay {

// One connection, dialled or accepted; ended when destroyed. No handler runs from within a call to
// it.
class WebSocketConnection
{
public:
    struct Handlers
    {
        // The upgrade has succeeded.
        std::function<void()> opened;
        // A whole binary frame.
        std::function<void(std::string_view frame)> received;
        // A pong with the payload of an earlier ping.
        std::function<void(std::string_view payload)> pong;
        // Called once, and not after abandon(). Detail is for logs.
        std::function<void(LinkEnd end, const std::string &detail)> closed;
    };

    WebSocketConnection() = default;
    virtual ~WebSocketConnection() = default;
    WebSocketConnection(const WebSocketConnection &) = delete;
    WebSocketConnection &operator=(const WebSocketConnection &) = delete;

    virtual void setHandlers(Handlers handlers) = 0;
    // Queues head and body as one binary frame. Returns false if the connection is not open.
    virtual bool send(std::string_view head, std::string_view body) = 0;
    virtual void ping(const std::string &payload) = 0;
    // Bytes queued and not yet handed to the kernel, without those of a write in progress.
    virtual std::size_t unsentBytes() const = 0;
    // Starts the closing handshake behind the queued frames.
    virtual void close() = 0;
    // Closes the socket at once and drops what is queued.
    virtual void abandon() = 0;
    // Number that the dialling process gave the connection in the upgrade request; rises with each
    // of its connections. Known once opened.
    virtual std::uint64_t number() const = 0;
    virtual std::string remoteAddress() const = 0;
};

struct WebSocketTransportSettings
{
    boost::asio::ip::tcp::endpoint endpoint;
    // Printable ASCII without spaces.
    std::string secret;
    std::size_t maxFrameBytes = 0;
};

// The address can't be listened on, or the secret is not usable.
struct TransportError
{
    std::string message;
};

class WebSocketTransport
{
public:
    // Called with each accepted TCP connection, before its upgrade request has arrived.
    using AcceptHandler = std::function<void(std::shared_ptr<WebSocketConnection>)>;

    // Fails with TransportError.
    static boost::leaf::result<std::unique_ptr<WebSocketTransport>>
    create(boost::asio::io_context &context, WebSocketTransportSettings settings,
           AcceptHandler accepted);
    // No handler runs afterwards.
    ~WebSocketTransport();

    // Address is an IP address and a port, for example "127.0.0.1:80" or "[::1]:80". Returns null
    // if it is not.
    std::shared_ptr<WebSocketConnection> dial(const std::string &address, std::uint64_t number);
    unsigned short port() const;
    void stopListening();

private:
    class Endpoints;
    WebSocketTransport(boost::asio::io_context &context, std::shared_ptr<Endpoints> endpoints);

    boost::asio::io_context &m_context;
    std::shared_ptr<Endpoints> m_endpoints;
};

} // namespace Bluebellquay
