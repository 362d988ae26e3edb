// Guards the plain HTTP server and client: what reaches the handler, when a caller's leaving is
// noticed, and that a call that may have been seen is never reported as not sent.
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>
#include <utility>

using namespace Bluebellquay;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

struct HandlerFailure
{ };

class HttpFixture
{
public:
    HttpFixture() { serve(HttpServerSettings()); }

    void serve(HttpServerSettings settings)
    {
        settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
        settings.maxBodyBytes = 1'000;
        server = HttpServer::create(context, timers, settings,
                                    [this](const HttpRequest &request,
                                           const std::shared_ptr<HttpExchange> &exchange) {
                                        if (handler)
                                            return handler(request, exchange);
                                        requests.push_back(request);
                                        open.push_back(exchange);
                                        exchange->onClosed([this] { ++closed; });
                                        if (answerAtOnce)
                                            exchange->respond({200, "{}", {}});
                                    })
                     .value();
        endpoint = {boost::asio::ip::address_v4::loopback(), server->port()};
        client.emplace(context, timers, endpoint);
    }

    void runOne()
    {
        try {
            context.run_one_for(1ms);
        } catch (const HandlerFailure &) {
            ++failures;
        }
    }
    // Runs the event loop for this time.
    void pass(Duration span)
    {
        for (const TimePoint end = timers.now() + span; timers.now() < end;)
            runOne();
    }
    // Runs the event loop until the condition holds.
    template <typename Condition>
    void until(Condition condition)
    {
        for (int i = 0; i < 5'000 && !condition(); ++i)
            runOne();
        REQUIRE(condition());
    }
    HttpReply call(HttpCall request)
    {
        std::optional<HttpReply> reply;
        client->call(std::move(request), [&](HttpReply got) { reply = std::move(got); });
        until([&] { return reply.has_value(); });
        return *reply;
    }

    boost::asio::io_context context;
    TimerService timers{context};
    std::unique_ptr<HttpServer> server;
    Tcp::endpoint endpoint;
    std::optional<HttpClient> client;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpExchange>> open;
    HttpHandler handler;
    int closed = 0;
    int failures = 0;
    bool answerAtOnce = true;
};

// A caller that sends its requests in pieces on one connection.
class PiecewiseCaller
{
public:
    explicit PiecewiseCaller(const Tcp::endpoint &server) { m_socket.connect(server); }

    void send(std::string_view bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    void close() { m_socket.close(); }
    void closeSending() { m_socket.shutdown(Tcp::socket::shutdown_send); }
    // All that the server has sent until now. Sets ended() if it has closed the connection.
    const std::string &received()
    {
        std::string bytes(4'096, '\0');
        boost::system::error_code error;
        m_socket.non_blocking(true);
        const std::size_t size = m_socket.receive(boost::asio::buffer(bytes), 0, error);
        m_socket.non_blocking(false);
        m_ended = m_ended || (error && error != boost::asio::error::would_block);
        m_reset = m_reset || error == boost::asio::error::connection_reset;
        return m_received.append(bytes, 0, error ? 0 : size);
    }
    bool answered(unsigned status)
    {
        return received().find("HTTP/1.1 " + std::to_string(status)) != std::string::npos;
    }
    bool ended() const { return m_ended; }
    bool reset() const { return m_reset; }
    void forget() { m_received.clear(); }

private:
    boost::asio::io_context m_context;
    Tcp::socket m_socket{m_context};
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

constexpr std::string_view SmallRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE_METHOD(HttpFixture, "a call is answered, and its connection serves the next one")
{
    for (int i = 0; i < 3; ++i) {
        const HttpReply reply = call({"POST", "/a?b=c", "{\"x\":1}", {{"Request-Id", "r"}}, 2s});
        CHECK(reply.answered(200));
        CHECK(reply.body == "{}");
    }
    REQUIRE(requests.size() == 3);
    CHECK(requests[0].target == "/a?b=c");
    CHECK(requests[0].header("request-id") == "r");
    CHECK(requests[0].body == "{\"x\":1}");
    CHECK(server->openExchanges() == 0);
}

TEST_CASE_METHOD(HttpFixture, "a large answer takes few turns of the event loop")
{
    answerAtOnce = false;
    std::optional<HttpReply> reply;
    client->call({"GET", "/", {}, {}, 2s}, [&](HttpReply got) { reply = std::move(got); });
    until([&] { return !open.empty(); });
    open[0]->respond({200, std::string(1 << 20, 'x'), {}});
    int turns = 0;
    while (!reply && turns < 10'000)
        turns += static_cast<int>(context.run_one_for(1s));
    REQUIRE(reply);
    CHECK(reply->body == std::string(1 << 20, 'x'));
    CHECK(turns < 400);
}

TEST_CASE_METHOD(HttpFixture, "a body beyond the limit is refused without the handler")
{
    CHECK(call({"POST", "/", std::string(2'000, 'x'), {}, 2s}).status == 413);
    CHECK(requests.empty());
}

TEST_CASE_METHOD(HttpFixture, "bytes that are no request are refused and the connection is closed")
{
    Tcp::socket socket(context);
    socket.connect(endpoint);
    boost::asio::write(socket, boost::asio::buffer(std::string("no request at all\r\n\r\n")));
    std::string received(256, '\0');
    std::optional<std::size_t> length;
    socket.async_read_some(
        boost::asio::buffer(received),
        [&](const boost::system::error_code &, std::size_t read) { length = read; });
    until([&] { return length.has_value(); });
    CHECK(received.starts_with("HTTP/1.1 400"));
    CHECK(requests.empty());
}

TEST_CASE_METHOD(HttpFixture, "a client that leaves before its answer is noticed at once")
{
    answerAtOnce = false;
    Tcp::socket socket(context);
    socket.connect(endpoint);
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    until([&] { return requests.size() == 1; });
    socket.close();
    until([&] { return closed == 1; });
    open[0]->respond({200, {}, {}});
    CHECK(server->openExchanges() == 0);
}

// A process that was paused or busy finds requests in its sockets whose callers have gone and have
// submitted them elsewhere.
TEST_CASE_METHOD(HttpFixture, "a request whose caller has gone before it is read is not handled")
{
    for (const bool reset : {false, true}) {
        CAPTURE(reset);
        boost::asio::io_context callerContext;
        Tcp::socket caller(callerContext);
        caller.connect(endpoint);
        boost::asio::write(
            caller, boost::asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        if (reset)
            caller.set_option(boost::asio::socket_base::linger(true, 0));
        caller.close();
        // Accepted after the one that has gone.
        CHECK(call({"GET", "/b", {}, {}, 2s}).answered(200));
        REQUIRE(requests.size() == 1);
        CHECK(requests.front().target == "/b");
        CHECK(server->openExchanges() == 0);
        requests.clear();
    }
}

TEST_CASE_METHOD(HttpFixture, "a call that was sent and not answered is not reported as not sent")
{
    answerAtOnce = false;
    CHECK(call({"POST", "/", "{}", {}, 100ms}).end == HttpCallEnd::NoAnswer);
}

TEST_CASE_METHOD(HttpFixture, "a reply that arrives while the process is held up is not timed out")
{
    std::optional<HttpReply> reply;
    client->call({"GET", "/", {}, {}, 200ms}, [&](HttpReply got) { reply = std::move(got); });
    until([&] { return requests.size() == 1; });
    std::this_thread::sleep_for(300ms);
    until([&] { return reply.has_value(); });
    CHECK(reply->answered(200));
}

// An agent that was paused would send a start late, to a life of the worker that can't tell.
TEST_CASE_METHOD(HttpFixture, "a call is not sent if its time was over when the connection came")
{
    std::optional<HttpReply> reply;
    client->call({"POST", "/", "{}", {}, 20ms}, [&](HttpReply got) { reply = std::move(got); });
    std::this_thread::sleep_for(60ms);
    until([&] { return reply.has_value(); });
    CHECK(reply->end == HttpCallEnd::NotSent);
    pass(50ms);
    CHECK(requests.empty());
}

TEST_CASE_METHOD(HttpFixture, "a call without a listener was not sent")
{
    client.emplace(context, timers, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 1));
    CHECK(call({"GET", "/", {}, {}, 2s}).end == HttpCallEnd::NotSent);
}

TEST_CASE_METHOD(HttpFixture, "while stopping, each response closes its connection")
{
    server->closeAfterResponse();
    CHECK(call({"GET", "/", {}, {}, 2s}).answered(200));
    CHECK(call({"GET", "/", {}, {}, 2s}).answered(200));
    CHECK(server->idle());
}

TEST_CASE_METHOD(HttpFixture, "a request that comes in two parts after an idle time is answered")
{
    HttpServerSettings settings;
    settings.requestTimeout = 2s;
    serve(settings);
    PiecewiseCaller caller(endpoint);
    caller.send(SmallRequest);
    until([&] { return caller.answered(200); });
    caller.forget();
    pass(settings.requestTimeout + 100ms);
    caller.send(SmallRequest.substr(0, 10));
    // Longer than the time between two sweeps.
    pass(700ms);
    caller.send(SmallRequest.substr(10));
    until([&] { return caller.answered(200) || caller.ended(); });
    CHECK_FALSE(caller.ended());
    CHECK(requests.size() == 2);
}

TEST_CASE_METHOD(HttpFixture, "a request that stays incomplete is refused instead of cut")
{
    HttpServerSettings settings;
    settings.requestTimeout = 500ms;
    serve(settings);
    PiecewiseCaller caller(endpoint);
    caller.send(SmallRequest.substr(0, 10));
    until([&] { return caller.answered(503) || caller.ended(); });
    CHECK(caller.answered(503));
    CHECK(requests.empty());
    CHECK(server->connectionEnds().count(ConnectionEnd::RequestTimeout) == 1);
}

TEST_CASE_METHOD(HttpFixture, "a caller that has closed only its sending side gets an answer")
{
    answerAtOnce = false;
    PiecewiseCaller early(endpoint);
    early.send(SmallRequest);
    early.closeSending();
    PiecewiseCaller late(endpoint);
    late.send(SmallRequest);
    until([&] { return early.answered(503) && requests.size() == 1; });
    late.closeSending();
    until([&] { return late.answered(502); });
    CHECK(closed == 1);
    CHECK(requests.size() == 1);
    CHECK(server->openExchanges() == 0);
}

TEST_CASE_METHOD(HttpFixture, "a request that arrives while the process is held up is answered")
{
    HttpServerSettings settings;
    settings.requestTimeout = 1s;
    serve(settings);
    PiecewiseCaller caller(endpoint);
    caller.send(SmallRequest);
    until([&] { return caller.answered(200); });
    const std::string large = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\nX-Padding: "
        + std::string(900, 'x') + "\r\n\r\n" + std::string(900, 'y');
    for (const bool begun : {false, true}) {
        CAPTURE(begun);
        requests.clear();
        caller.forget();
        pass(settings.requestTimeout + 100ms);
        if (begun) {
            caller.send(std::string_view(large).substr(0, 100));
            pass(10ms);
        }
        caller.send(std::string_view(large).substr(begun ? 100 : 0));
        std::this_thread::sleep_for(settings.requestTimeout + 100ms);
        until([&] { return caller.answered(200) || caller.ended(); });
        REQUIRE_FALSE(caller.ended());
        CHECK(requests.size() == 1);
    }
}

TEST_CASE_METHOD(HttpFixture,
                 "a handler that lets its exchange go or throws does not leave a caller unanswered")
{
    std::shared_ptr<HttpExchange> kept;
    for (const bool throws : {false, true}) {
        CAPTURE(throws);
        PiecewiseCaller caller(endpoint);
        bool answers = false;
        handler = [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            if (std::exchange(answers, true))
                return exchange->respond({200, {}, {}});
            exchange->onClosed([this] { ++closed; });
            if (!throws)
                return;
            kept = exchange;
            throw HandlerFailure();
        };
        caller.send(std::string(SmallRequest) + std::string(SmallRequest));
        until([&] { return caller.answered(502) && caller.answered(200); });
        CHECK(server->openExchanges() == 0);
    }
    CHECK(failures == 1);
    CHECK(closed == 2);
    CHECK(server->unanswered().count(UnansweredRequest::ExchangeDropped) == 1);
    CHECK(server->unanswered().count(UnansweredRequest::HandlerFailed) == 1);
}

TEST_CASE_METHOD(HttpFixture, "a last response with unread bytes behind it is not lost by a reset")
{
    const std::string unread(8'000, 'x');
    const std::string close = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    const std::string large = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n";
    for (const auto &answer : {std::pair(200U, close), std::pair(413U, large),
                               std::pair(400U, std::string("no\r\n\r\n"))}) {
        const unsigned status = answer.first;
        CAPTURE(status);
        PiecewiseCaller caller(endpoint);
        caller.send(answer.second + unread);
        until([&] { return caller.answered(status) && caller.ended(); });
        CHECK_FALSE(caller.reset());
        // Also for bytes that arrive after the response.
        caller.send(unread);
        pass(20ms);
        caller.closeSending();
        pass(20ms);
    }
    CHECK(server->connectionEnds().count(ConnectionEnd::ResponseSent) == 3);
}

TEST_CASE_METHOD(HttpFixture,
                 "a client that sends on after the last response does not keep its connection")
{
    HttpServerSettings settings;
    settings.drainTimeout = 100ms;
    serve(settings);
    PiecewiseCaller caller(endpoint);
    caller.send("no\r\n\r\n");
    until([&] { return caller.answered(400) && caller.ended(); });
    // Longer than the time between two sweeps.
    pass(settings.drainTimeout + 600ms);
    caller.send("x");
    pass(10ms);
    CHECK_THROWS_AS(caller.send("x"), boost::system::system_error);
}

TEST_CASE_METHOD(HttpFixture,
                 "a stopping server is not idle while a request has begun or lies unread")
{
    PiecewiseCaller caller(endpoint);
    caller.send(SmallRequest);
    until([&] { return caller.answered(200); });
    server->closeAfterResponse();
    until([&] { return server->idle(); });
    caller.forget();
    // Arrives in the socket without being read.
    caller.send(SmallRequest.substr(0, 10));
    CHECK_FALSE(server->idle());
    pass(20ms);
    server->closeIdleConnections();
    CHECK_FALSE(server->idle());
    caller.send(SmallRequest.substr(10));
    until([&] { return caller.answered(200) && caller.ended(); });
    CHECK_FALSE(caller.reset());
    // Closing the socket now would reset the connection.
    caller.send("x");
    CHECK_FALSE(server->idle());
    caller.close();
    until([&] { return server->idle(); });
}

TEST_CASE_METHOD(HttpFixture,
                 "a stopping server closes idle connections and not ones that expect a request")
{
    PiecewiseCaller idle(endpoint);
    idle.send(SmallRequest);
    until([&] { return idle.answered(200); });
    PiecewiseCaller fresh(endpoint);
    pass(10ms);
    server->closeAfterResponse();
    server->closeIdleConnections();
    CHECK_FALSE(server->idle());
    until([&] { return idle.answered(200) && idle.ended(); });
    CHECK_FALSE(idle.reset());
    idle.send(SmallRequest);
    fresh.send(SmallRequest);
    until([&] { return fresh.answered(200) && fresh.ended(); });
    CHECK(requests.size() == 2);
    fresh.close();
    until([&] { return server->idle(); });
    CHECK(server->connectionEnds().count(ConnectionEnd::ServerClosed) == 1);
}

// Guards against a process that runs out of memory: the parser takes these only when they are
// whole.
TEST_CASE_METHOD(HttpFixture, "trailers and chunk lines without end are refused")
{
    HttpServerSettings settings;
    settings.maxHeaderBytes = 4'000;
    serve(settings);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2";
    const std::string line = "X-Trailer: " + std::string(500, 'x') + "\r\n";
    const std::string begun = GENERATE(as<std::string>(), "\r\n{}\r\n0\r\n", ";");
    PiecewiseCaller caller(endpoint);
    caller.send(head + begun);
    for (int i = 0; i < 20; ++i)
        caller.send(begun == ";" ? std::string(500, 'x') : line);
    until([&] { return caller.answered(431); });
    CHECK(requests.empty());
    CHECK(server->unfinishedBytes() == 0);
}

// Guards against many bodies of legal size at once: those that stand still go first, and a request
// that is whole is never dropped for them.
TEST_CASE_METHOD(HttpFixture, "unfinished requests beyond the memory for them are refused")
{
    answerAtOnce = false;
    HttpServerSettings settings;
    settings.maxUnfinishedBytes = 40'000;
    serve(settings);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n";
    PiecewiseCaller whole(endpoint);
    whole.send(head + std::string(900, 'y'));
    until([&] { return requests.size() == 1; });
    std::vector<std::unique_ptr<PiecewiseCaller>> callers;
    for (int i = 0; i < 30; ++i) {
        callers.push_back(std::make_unique<PiecewiseCaller>(endpoint));
        callers.back()->send(head + std::string(890, 'y'));
        pass(2ms);
    }
    until([&] { return callers.front()->answered(503); });
    CHECK(server->connectionEnds().count(ConnectionEnd::MemoryLimit) > 0);
    CHECK(server->unfinishedBytes() <= settings.maxUnfinishedBytes);
    CHECK(server->unfinishedBytes() > 0);
    // The latest one is still read to its end.
    callers.back()->send(std::string(10, 'y'));
    until([&] { return requests.size() == 2; });
    for (const auto &exchange : open)
        exchange->respond({200, "{}", {}});
    until([&] { return whole.answered(200) && callers.back()->answered(200); });
}

TEST_CASE_METHOD(HttpFixture, "too many connections cost the one without progress for longest")
{
    answerAtOnce = false;
    HttpServerSettings settings;
    settings.maxConnections = 3;
    serve(settings);
    PiecewiseCaller whole(endpoint);
    whole.send(SmallRequest);
    until([&] { return requests.size() == 1; });
    PiecewiseCaller idle(endpoint);
    pass(5ms);
    PiecewiseCaller begun(endpoint);
    begun.send(SmallRequest.substr(0, 10));
    pass(5ms);
    PiecewiseCaller late(endpoint);
    late.send(SmallRequest);
    until([&] { return requests.size() == 2; });
    until([&] {
        idle.received();
        return idle.ended();
    });
    CHECK(server->connectionEnds().count(ConnectionEnd::ConnectionLimit) == 1);
    begun.send(SmallRequest.substr(10));
    until([&] { return requests.size() == 3; });
    // All requests are whole: there is nobody to take a place from.
    PiecewiseCaller another(endpoint);
    until([&] {
        another.received();
        return another.ended();
    });
    for (const auto &exchange : open)
        exchange->respond({200, "{}", {}});
    until([&] { return whole.answered(200) && late.answered(200) && begun.answered(200); });
}

// Guards against a worker or a store whose reply does not end.
TEST_CASE_METHOD(HttpFixture, "a reply with trailers without end is given up")
{
    boost::asio::io_context peerContext;
    Tcp::acceptor acceptor(peerContext, {boost::asio::ip::address_v4::loopback(), 0});
    std::thread peer([&] {
        Tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        boost::asio::write(
            socket,
            boost::asio::buffer(std::string_view(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n")),
            error);
        const std::string line = "X-Trailer: " + std::string(1'000, 'x') + "\r\n";
        while (!error)
            boost::asio::write(socket, boost::asio::buffer(line), error);
    });
    client.emplace(context, timers, acceptor.local_endpoint());
    const HttpReply reply = call({"GET", "/", {}, {}, 60s});
    CHECK(reply.end == HttpCallEnd::NoAnswer);
    client.reset();
    peer.join();
}
