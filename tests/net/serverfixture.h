// A ConnectServer on a thread of its own and a blocking client that sends any bytes.
#pragma once

#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace Bluebellquay::Testing {

constexpr std::string_view StatusPath = "/bluebellquay.v1.Dispatcher/Status";

ConnectServerSettings loopbackSettings();

// Serves Status, which returns the id that it got. Special ids: "hold" completes when release() is
// called, "drop" never completes, "fail" fails with not_found.
class ServerFixture
{
public:
    explicit ServerFixture(ConnectServerSettings settings = loopbackSettings());
    ~ServerFixture();

    unsigned short port() const { return m_server->port(); }
    int calls() const { return m_calls; }
    // Waits until this number of calls has reached the handler; false after 10 s.
    bool waitForCalls(int number) const;
    // Completes the call that is held.
    void release();
    // Runs the function on the thread of the server and waits for it.
    void run(const std::function<void(ConnectServer &)> &function);

private:
    using Done = std::function<void(ConnectResult<bluebellquay::v1::SubmissionResponse>)>;

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<ConnectServer> m_server;
    Done m_held;
    std::atomic<int> m_calls = 0;
    std::thread m_thread;
};

struct RawResponse
{
    // Zero if the connection was closed before a whole response.
    unsigned status = 0;
    std::string head;
    std::string body;

    // Value of "code" in an error body; empty if there is none.
    std::string code() const;
};

// Blocking connection. A read that gets nothing for 10 s counts as a failure of the server.
class RawConnection
{
public:
    explicit RawConnection(unsigned short port);

    void send(std::string_view bytes);
    RawResponse receive();
    // True if the server closes the connection (after any bytes).
    bool waitForClose();
    void close() { m_socket.close(); }
    void shutdownSend() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

private:
    bool readMore();

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_buffer;
    bool m_timedOut = false;
};

// A whole POST request with JSON body unless the headers name another type.
std::string post(std::string_view path, std::string_view body, std::string_view headers = {},
                 std::string_view contentType = "application/json");

RawResponse roundTrip(unsigned short port, std::string_view request);

} // namespace Bluebellquay::Testing
