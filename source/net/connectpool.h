// Private part of ConnectClient: the calls and the kept-alive connections to one address.
//
// Each connection carries one call at a time. Calls beyond the limit of connections wait in order.
#pragma once

#include "net/connectclient.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <unordered_set>
#include <vector>

namespace Bluebellquay {

class ClientConnection;

// One call from call() to its callback. Owned by the pool's list of deadlines.
struct ClientCall
{
    using Done = std::function<void(const google::protobuf::Message *, const ConnectError &)>;
    using Clock = std::chrono::steady_clock;

    // Everything that goes on the wire.
    std::string request;
    std::unique_ptr<google::protobuf::Message> response;
    // Empty once the call has ended.
    Done done;
    std::multimap<Clock::time_point, std::shared_ptr<ClientCall>>::iterator deadline;
    // Nothing while the call waits for a connection.
    std::weak_ptr<ClientConnection> connection;
};

class ConnectPool : public std::enable_shared_from_this<ConnectPool>
{
public:
    using Clock = ClientCall::Clock;

    ConnectPool(boost::asio::io_context &context, ConnectClientSettings settings,
                boost::asio::ip::tcp::endpoint endpoint);

    void call(std::string_view method, const google::protobuf::Message &request, Duration timeout,
              std::unique_ptr<google::protobuf::Message> response, ClientCall::Done done);
    void shutdown();

    // Called by connections.
    void connectionIdle(const std::shared_ptr<ClientConnection> &connection);
    void connectionClosed(const std::shared_ptr<ClientConnection> &connection);
    // Gives the call, whose request was not written, to another connection.
    void repeat(const std::shared_ptr<ClientCall> &call);
    void finish(const std::shared_ptr<ClientCall> &call, const google::protobuf::Message *response,
                const ConnectError &error);

    boost::asio::io_context &context() const { return m_context; }
    const boost::asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }
    std::size_t maxBodyBytes() const { return m_settings.maxBodyBytes; }
    ConnectEncoding encoding() const { return m_settings.encoding; }

private:
    using Deadlines = std::multimap<Clock::time_point, std::shared_ptr<ClientCall>>;
    using Timer = boost::asio::basic_waitable_timer<Clock, boost::asio::wait_traits<Clock>,
                                                    boost::asio::io_context::executor_type>;

    std::string encode(std::string_view method, const google::protobuf::Message &request,
                       Duration timeout) const;
    // Gives the call to an idle or new connection. False if the limit is reached.
    bool assign(const std::shared_ptr<ClientCall> &call);
    void open(const std::shared_ptr<ClientCall> &call);
    void assignWaiting();
    void arm();
    void expire();

    boost::asio::io_context &m_context;
    ConnectClientSettings m_settings;
    boost::asio::ip::tcp::endpoint m_endpoint;
    // Parts of the head that are the same for each call.
    std::string m_headEnd;
    Timer m_timer;
    // All calls that have not ended.
    Deadlines m_deadlines;
    // Calls without a connection. A call that has ended meanwhile is skipped.
    std::deque<std::shared_ptr<ClientCall>> m_waiting;
    std::unordered_set<std::shared_ptr<ClientConnection>> m_connections;
    struct Idle
    {
        std::weak_ptr<ClientConnection> connection;
        Clock::time_point since;
    };
    // The most recently used one is last and is taken first, so that unneeded ones go idle.
    std::vector<Idle> m_idle;
    // What m_timer waits for; max if it is not armed.
    Clock::time_point m_armedFor = Clock::time_point::max();
    bool m_closed = false;
};

} // namespace Bluebellquay
