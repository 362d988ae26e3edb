// Guards against a client that sends a call twice, reports a call that may have run as not sent,
// or never calls back.
#include "net/connectclient.h"
#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/serverfixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;
using bluebellquay::v1::StatusRequest;
using bluebellquay::v1::SubmissionResponse;
using Tcp = boost::asio::ip::tcp;
using Result = ConnectResult<SubmissionResponse>;

namespace {

constexpr std::string_view Method = StatusPath.substr(1);
constexpr std::string_view GoodAnswer = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
                                        "Content-Length: 3\r\n\r\n\x0a\x01z";

// Serves connections one after another: reads one request of each, sends fixed bytes, closes.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> answers)
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_thread([this, answers = std::move(answers)] { serve(answers); })
    { }
    ~ScriptedServer()
    {
        // Wakes the thread if a failed test leaves it waiting for a connection.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    int requests() const { return m_requests; }
    int closed() const { return m_closed; }

private:
    void serve(const std::vector<std::string> &answers)
    {
        for (const std::string &answer : answers) {
            boost::system::error_code ignored;
            Tcp::socket socket(m_context);
            if (m_acceptor.accept(socket, ignored))
                return;
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                    ignored);
            ++m_requests;
            boost::asio::write(socket, boost::asio::buffer(answer), ignored);
            socket.close();
            ++m_closed;
        }
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_closed = 0;
    std::thread m_thread;
};

class Caller
{
public:
    explicit Caller(const std::string &address, std::size_t maxConnections = 4)
    {
        ConnectClientSettings settings;
        settings.address = address;
        settings.maxConnections = maxConnections;
        settings.maxBodyBytes = 1000;
        m_client = ConnectClient::create(m_context, settings).value();
    }

    void start(const std::string &id, Duration timeout = 10s)
    {
        StatusRequest request;
        request.set_id(id);
        m_client->call<SubmissionResponse>(Method, request, timeout, [this](const Result &result) {
            m_results.push_back(result);
        });
    }
    // Runs the event loop until this many calls have called back.
    const std::vector<Result> &wait(std::size_t number)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (m_results.size() < number && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(100ms);
        }
        REQUIRE(m_results.size() == number);
        return m_results;
    }
    ConnectError error(const std::string &id, Duration timeout = 10s)
    {
        start(id, timeout);
        const Result result = wait(m_results.size() + 1).back();
        REQUIRE(std::holds_alternative<ConnectError>(result));
        return std::get<ConnectError>(result);
    }
    std::string idOf(std::size_t index) const
    {
        REQUIRE(std::holds_alternative<SubmissionResponse>(m_results.at(index)));
        return std::get<SubmissionResponse>(m_results.at(index)).id();
    }
    std::size_t results() const { return m_results.size(); }
    void poll()
    {
        m_context.restart();
        m_context.run_for(1ms);
    }
    void destroyClient() { m_client.reset(); }

private:
    boost::asio::io_context m_context;
    std::unique_ptr<ConnectClient> m_client;
    std::vector<Result> m_results;
};

std::string addressOf(const ServerFixture &server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

// A port that was free a moment ago.
std::string refusingAddress()
{
    boost::asio::io_context context;
    const Tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::string answerWith(const std::string &status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Type: " + type
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("Addresses that are not IP number and port are refused", "[net]")
{
    boost::asio::io_context context;
    for (const char *address : {"", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536",
                                "127.0.0.1:8x", ":80", "127.0.0.1:"}) {
        ConnectClientSettings settings;
        settings.address = address;
        const bool created = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(ConnectClient::create(context, settings));
                return true;
            },
            [&](const AddressError &error) { return error.address != address; },
            [] { return true; });
        CHECK_FALSE(created);
    }
}

TEST_CASE("A refused connection is unavailable, and not reported from within call()", "[net]")
{
    Caller caller(refusingAddress());
    caller.start("a");
    CHECK(caller.results() == 0);
    CHECK(std::get<ConnectError>(caller.wait(1).front()).code == ConnectCode::Unavailable);
}

TEST_CASE("A call without a whole, readable answer is unknown and sent once", "[net]")
{
    const std::string answers[] = {
        "",
        std::string(GoodAnswer.substr(0, GoodAnswer.size() - 1)),
        "garbage\r\n\r\n",
        answerWith("200 OK", "application/proto", "\x0a\x7f"),
        answerWith("200 OK", "application/json", "{}"),
        answerWith("200 OK", "application/proto", std::string(2000, 'x')),
    };
    for (const std::string &answer : answers) {
        INFO(answer.substr(0, 60));
        ScriptedServer server({answer});
        Caller caller(server.address());
        CHECK(caller.error("a").code == ConnectCode::Unknown);
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("Error answers are read, with or without an error body", "[net]")
{
    ScriptedServer server({
        answerWith("404 Not Found", "application/json", R"({"code":"not_found","message":"m"})"),
        answerWith("502 Bad Gateway", "text/html", "<html>"),
        answerWith("400 Bad Request", "application/json", R"({"code":7,"message":[]})"),
    });
    Caller caller(server.address(), 1);
    const ConnectError error = caller.error("a");
    CHECK(error.code == ConnectCode::NotFound);
    CHECK(error.message == "m");
    CHECK(caller.error("b").code == ConnectCode::Unavailable);
    CHECK(caller.error("c").code == ConnectCode::Internal);
}

TEST_CASE("A kept-alive connection closed by the server is replaced", "[net]")
{
    ScriptedServer server({std::string(GoodAnswer), std::string(GoodAnswer)});
    Caller caller(server.address(), 1);
    caller.start("a");
    caller.wait(1);
    while (server.closed() == 0)
        caller.poll();
    caller.poll();
    caller.start("b");
    caller.wait(2);
    CHECK(caller.idOf(1) == "z");
    CHECK(server.requests() == 2);
}

TEST_CASE("A call ends at its timeout, and its late answer goes to no other call", "[net]")
{
    ServerFixture server;
    Caller caller(addressOf(server), 1);
    CHECK(caller.error("hold", 50ms).code == ConnectCode::DeadlineExceeded);
    REQUIRE(server.waitForCalls(1));
    server.release();
    caller.start("next");
    caller.wait(2);
    CHECK(caller.idOf(1) == "next");
}

TEST_CASE("A call that waits for a connection ends at its timeout, unsent", "[net]")
{
    ServerFixture server;
    Caller caller(addressOf(server), 1);
    caller.start("hold");
    CHECK(caller.error("waiting", 50ms).code == ConnectCode::DeadlineExceeded);
    REQUIRE(server.waitForCalls(1));
    server.release();
    caller.wait(2);
    CHECK(caller.idOf(1) == "released");
    CHECK(server.calls() == 1);
}

TEST_CASE("Calls above the limit of connections are all answered, each with its own answer",
          "[net]")
{
    ServerFixture server;
    Caller caller(addressOf(server), 3);
    constexpr std::size_t Calls = 500;
    for (std::size_t i = 0; i < Calls; ++i)
        caller.start(std::to_string(i));
    caller.wait(Calls);
    std::vector<bool> seen(Calls);
    for (std::size_t i = 0; i < Calls; ++i)
        seen.at(std::stoul(caller.idOf(i))) = true;
    CHECK(std::count(seen.begin(), seen.end(), true) == Calls);
}

TEST_CASE("Open calls of a destroyed client never call back", "[net]")
{
    ServerFixture server;
    Caller caller(addressOf(server), 1);
    caller.start("hold");
    caller.start("waiting");
    while (server.calls() == 0)
        caller.poll();
    caller.destroyClient();
    server.release();
    for (int i = 0; i < 20; ++i)
        caller.poll();
    CHECK(caller.results() == 0);
}
