// Private part of ConnectServer: accepts connections, bounds their number, enforces their
// deadlines and finds the handler of a request.
#pragma once

#include "net/connectserver.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>

namespace Bluebellquay {

// Sockets with the executor type of io_context avoid the virtual calls of any_io_executor.
using ServerExecutor = boost::asio::io_context::executor_type;
using ServerSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, ServerExecutor>;

class ConnectServer::Listener : public std::enable_shared_from_this<ConnectServer::Listener>
{
public:
    using Clock = std::chrono::steady_clock;

    Listener(boost::asio::io_context &context, ConnectServerSettings settings);

    // Binds and listens. Throws boost::system::system_error.
    void open();
    void accept();
    void stop(std::function<void()> stopped);
    // Closes everything without waiting for calls in progress.
    void shutdown();
    void remove(const std::shared_ptr<Session> &session);

    void add(std::string path, Method method) { m_methods[std::move(path)] = std::move(method); }
    void addGet(std::string path, std::function<PlainResponse()> handler)
    {
        m_getHandlers[std::move(path)] = std::move(handler);
    }
    const Method *findMethod(std::string_view path) const;
    const std::function<PlainResponse()> *findGet(std::string_view path) const;

    const ConnectServerSettings &settings() const { return m_settings; }
    unsigned short port() const { return m_port; }
    bool stopping() const { return m_stopping; }

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, ServerExecutor>;
    using Timer =
        boost::asio::basic_waitable_timer<Clock, boost::asio::wait_traits<Clock>, ServerExecutor>;

    void onAccept(const boost::system::error_code &error, ServerSocket socket);
    void retryAccept();
    void sweep();
    void finishStop();

    ConnectServerSettings m_settings;
    Acceptor m_acceptor;
    Timer m_sweepTimer;
    Timer m_retryTimer;
    // Time between two checks of the deadlines of all connections.
    Clock::duration m_sweepInterval;
    // Paths include the leading slash. Transparent comparison, so that a lookup copies nothing.
    std::map<std::string, Method, std::less<>> m_methods;
    std::map<std::string, std::function<PlainResponse()>, std::less<>> m_getHandlers;
    std::unordered_set<std::shared_ptr<Session>> m_sessions;
    std::function<void()> m_stopped;
    unsigned short m_port = 0;
    bool m_stopping = false;
    // True while an accept is outstanding; accepting pauses at the limit of connections.
    bool m_accepting = false;
    bool m_sweeping = false;
};

} // namespace Bluebellquay
