// Cost of one call in ConnectServer and in ConnectClient: processor time of their threads over
// loopback, with single requests of one task on kept-alive connections.
//
// Usage: bench_connect [seconds] [connections]
#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectclient.h"
#include "net/connectmessage.h"
#include "net/connectserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/resource.h>

using namespace Bluebellquay;
using bluebellquay::v1::SubmissionResponse;
using bluebellquay::v1::SubmitRequest;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr const char *Method = "bluebellquay.v1.Dispatcher/Submit";
constexpr std::size_t PayloadBytes = 200;

// Returns the processor time of a thread, in seconds.
struct Usage
{
    double user = 0;
    double system = 0;
};

Usage threadUsage()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return {seconds(usage.ru_utime), seconds(usage.ru_stime)};
}

SubmitRequest sampleRequest()
{
    SubmitRequest request;
    request.set_id("0123456789abcdef-00000012-fedcba9876543210");
    request.set_attempt(1);
    request.set_deadline_ms(5000);
    auto *job = request.mutable_job();
    job->set_branch("hinokuni");
    job->set_customer("archive");
    job->set_team("panel");
    job->set_kind("search");
    job->mutable_need()->set_milli_processors(1000);
    auto *task = job->add_tasks();
    task->set_payload(std::string(PayloadBytes, 'x'));
    task->set_declared_run_ms(50);
    return request;
}

// Runs a server on its own thread for the life of the object.
class ServerThread
{
public:
    ServerThread()
    {
        ConnectServerSettings settings;
        settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
        m_server = ConnectServer::create(m_context, settings).value();
        m_server->handle<SubmitRequest, SubmissionResponse>(
            Method, [](const SubmitRequest &request, const CallContext &, auto done) {
                SubmissionResponse response;
                response.set_id(request.id());
                response.set_outcome(bluebellquay::v1::OUTCOME_COMPLETED);
                response.add_outputs(request.job().tasks(0).payload());
                done(std::move(response));
            });
        m_thread = std::thread([this] {
            m_context.run();
            m_usage = threadUsage();
        });
    }
    ~ServerThread() { stop(); }

    unsigned short port() const { return m_server->port(); }
    // Ends the thread and returns the processor time that it used.
    Usage stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
        return m_usage;
    }

private:
    boost::asio::io_context m_context;
    std::unique_ptr<ConnectServer> m_server;
    std::thread m_thread;
    Usage m_usage;
};

// Sends the same bytes again and again on one connection; the load must cost less than the server.
class LoadConnection
{
public:
    LoadConnection(boost::asio::io_context &context, unsigned short port,
                   const std::string &request, std::uint64_t &calls)
        : m_socket(context)
        , m_request(request)
        , m_calls(calls)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_socket.set_option(Tcp::no_delay(true));
        send();
    }

private:
    void send()
    {
        m_received.clear();
        boost::asio::async_write(m_socket, boost::asio::buffer(m_request),
                                 [this](const boost::system::error_code &error, std::size_t) {
                                     if (!error)
                                         receive();
                                 });
    }
    void receive()
    {
        m_socket.async_read_some(boost::asio::buffer(m_chunk),
                                 [this](const boost::system::error_code &error, std::size_t size) {
                                     if (!error)
                                         received(size);
                                 });
    }
    void received(std::size_t size)
    {
        m_received.append(m_chunk.data(), size);
        if (m_length == 0)
            learnLength();
        if (m_length == 0 || m_received.size() < m_length) {
            receive();
            return;
        }
        ++m_calls;
        send();
    }
    // All answers are alike, so the first one tells the length of each.
    void learnLength()
    {
        static constexpr std::string_view Field = "Content-Length: ";
        const std::size_t end = m_received.find("\r\n\r\n");
        const std::size_t field = m_received.find(Field);
        if (end == std::string::npos || field == std::string::npos)
            return;
        if (m_received.compare(0, 12, "HTTP/1.1 200") != 0) {
            std::fprintf(stderr, "unexpected answer: %s\n", m_received.c_str());
            std::exit(1);
        }
        m_length = end + 4 + std::strtoul(m_received.c_str() + field + Field.size(), nullptr, 10);
    }

    Tcp::socket m_socket;
    const std::string &m_request;
    std::uint64_t &m_calls;
    std::string m_received;
    std::vector<char> m_chunk = std::vector<char>(4096);
    std::size_t m_length = 0;
};

void print(const char *name, std::uint64_t calls, double wall, const Usage &usage)
{
    const auto number = static_cast<double>(calls);
    const double processor = usage.user + usage.system;
    std::printf("%-14s %8.0f calls/s, %6.2f us of processor per call (%6.2f user), "
                "%7.0f calls per core and s\n",
                name, number / wall, processor / number * 1e6, usage.user / number * 1e6,
                number / processor);
}

void measureServer(const char *name, ConnectEncoding encoding, std::chrono::seconds time,
                   std::size_t connections)
{
    std::string body;
    appendConnectBody(sampleRequest(), encoding, body);
    const std::string request = std::string("POST /") + Method
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: bench\r\n"
          "Accept: */*\r\nContent-Type: "
        + std::string(mediaType(encoding))
        + "\r\nConnect-Protocol-Version: 1\r\nConnect-Timeout-Ms: 5000\r\n"
          "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    ServerThread server;
    boost::asio::io_context context;
    std::uint64_t calls = 0;
    std::vector<std::unique_ptr<LoadConnection>> load;
    for (std::size_t i = 0; i < connections; ++i)
        load.push_back(std::make_unique<LoadConnection>(context, server.port(), request, calls));
    const auto start = std::chrono::steady_clock::now();
    context.run_for(time);
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
    print(name, calls, wall.count(), server.stop());
}

void measureClient(std::chrono::seconds time, std::size_t connections)
{
    ServerThread server;
    boost::asio::io_context context;
    ConnectClientSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(server.port());
    settings.maxConnections = connections;
    const auto client = ConnectClient::create(context, settings).value();
    const SubmitRequest request = sampleRequest();
    std::uint64_t calls = 0;
    const std::function<void()> next = [&] {
        client->call<SubmissionResponse>(Method, request, std::chrono::seconds(5),
                                         [&](const ConnectResult<SubmissionResponse> &result) {
                                             if (std::holds_alternative<ConnectError>(result))
                                                 std::exit(1);
                                             ++calls;
                                             next();
                                         });
    };
    for (std::size_t i = 0; i < connections; ++i)
        next();
    const Usage before = threadUsage();
    const auto start = std::chrono::steady_clock::now();
    context.run_for(time);
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
    const Usage after = threadUsage();
    print("client proto", calls, wall.count(),
          {after.user - before.user, after.system - before.system});
}

} // namespace

int main(int argc, char **argv)
{
    const std::chrono::seconds time(argc > 1 ? std::atoi(argv[1]) : 3);
    const std::size_t connections = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 64;
    measureServer("server proto", ConnectEncoding::Proto, time, connections);
    measureServer("server json", ConnectEncoding::Json, time, connections);
    measureClient(time, connections);
    return 0;
}
