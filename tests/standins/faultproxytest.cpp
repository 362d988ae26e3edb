// Guards against a fault proxy that injects another fault than the one asked for, which would make
// process tests pass without the fault.
#include "standins/faultproxy.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <istream>
#include <thread>

using namespace Bluebellquay::Testing;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint loopback(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

// A proxy on a thread of its own with a relay "r" to a listener that the test accepts from.
struct ProxyFixture
{
    ProxyFixture()
        : listener(context, loopback(0))
        , proxy(proxyContext, 0)
        , control(context)
        , thread([this] { proxyContext.run(); })
    {
        control.connect(loopback(proxy.controlPort()));
        const std::string reply =
            command("add r 0 " + std::to_string(listener.local_endpoint().port()));
        REQUIRE(reply.substr(0, 3) == "ok ");
        relayPort = static_cast<unsigned short>(std::stoi(reply.substr(3)));
    }
    ~ProxyFixture()
    {
        proxyContext.stop();
        thread.join();
    }

    std::string command(const std::string &text)
    {
        boost::asio::write(control, boost::asio::buffer(text + "\n"));
        return readLine(control);
    }
    std::string readLine(tcp::socket &socket)
    {
        boost::asio::streambuf buffer;
        error_code error;
        boost::asio::read_until(socket, buffer, '\n', error);
        std::istream stream(&buffer);
        std::string line;
        std::getline(stream, line);
        return error ? "(" + line + ")" + error.message() : line;
    }
    // A client and the target's end of its connection through the relay.
    std::pair<tcp::socket, tcp::socket> connect()
    {
        tcp::socket client(context);
        client.connect(loopback(relayPort));
        return {std::move(client), listener.accept()};
    }

    boost::asio::io_context context;
    boost::asio::io_context proxyContext;
    tcp::acceptor listener;
    FaultProxy proxy;
    tcp::socket control;
    unsigned short relayPort = 0;
    std::thread thread;
};

void send(tcp::socket &socket, const std::string &text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}

} // namespace

TEST_CASE("A relay passes bytes and the end of a stream both ways", "[standins]")
{
    ProxyFixture fixture;
    auto [client, target] = fixture.connect();
    send(client, "question\n");
    CHECK(fixture.readLine(target) == "question");
    client.shutdown(tcp::socket::shutdown_send);
    send(target, "answer\n");
    CHECK(fixture.readLine(client) == "answer");
    CHECK(fixture.readLine(target) == "()End of file");
}

TEST_CASE("A cut resets connections until it is passed", "[standins]")
{
    ProxyFixture fixture;
    auto [client, target] = fixture.connect();
    send(client, "x\n");
    CHECK(fixture.readLine(target) == "x");
    CHECK(fixture.command("cut r") == "ok");
    CHECK(fixture.readLine(client) == "()Connection reset by peer");
    CHECK(fixture.readLine(target) == "()Connection reset by peer");
    tcp::socket refused(fixture.context);
    refused.connect(loopback(fixture.relayPort));
    CHECK(fixture.readLine(refused) == "()Connection reset by peer");
    CHECK(fixture.command("pass *") == "ok");
    auto [second, secondTarget] = fixture.connect();
    send(second, "y\n");
    CHECK(fixture.readLine(secondTarget) == "y");
}

TEST_CASE("Silence loses one direction of open connections for good", "[standins]")
{
    ProxyFixture fixture;
    auto [client, target] = fixture.connect();
    send(client, "before\n");
    CHECK(fixture.readLine(target) == "before");
    CHECK(fixture.command("silence r up") == "ok");
    send(client, "lost\n");
    send(target, "down works\n");
    CHECK(fixture.readLine(client) == "down works");
    CHECK(fixture.command("pass r") == "ok");
    send(client, "still lost\n");
    auto [second, secondTarget] = fixture.connect();
    send(second, "new works\n");
    CHECK(fixture.readLine(secondTarget) == "new works");
    CHECK(target.available() == 0);
}

TEST_CASE("A stall holds bytes back and loses none", "[standins]")
{
    ProxyFixture fixture;
    auto [client, target] = fixture.connect();
    CHECK(fixture.command("stall r") == "ok");
    send(client, "held\n");
    CHECK(fixture.command("list").substr(0, 5) == "ok r=");
    CHECK(target.available() == 0);
    CHECK(fixture.command("pass r") == "ok");
    CHECK(fixture.readLine(target) == "held");
}

TEST_CASE("A delayed byte arrives no earlier than asked", "[standins]")
{
    ProxyFixture fixture;
    auto [client, target] = fixture.connect();
    CHECK(fixture.command("delay r 30") == "ok");
    const auto start = std::chrono::steady_clock::now();
    send(client, "late\n");
    CHECK(fixture.readLine(target) == "late");
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(30));
}

TEST_CASE("A reset in a frame passes its first half only", "[standins]")
{
    ProxyFixture fixture;
    auto [client, target] = fixture.connect();
    CHECK(fixture.command("reset r") == "ok");
    send(client, "12345678");
    CHECK(fixture.readLine(target) == "(1234)Connection reset by peer");
    CHECK(fixture.readLine(client) == "()Connection reset by peer");
}

TEST_CASE("Commands that can't be obeyed are answered with the cause", "[standins]")
{
    ProxyFixture fixture;
    for (const char *text : {"", "pass", "pass unknown", "jump r", "silence r sideways",
                             "delay r soon", "target r 70000", "add r 0 1", "add q 0"})
        CHECK(fixture.command(text).substr(0, 7) == "error: ");
}
