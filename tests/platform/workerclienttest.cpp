// Guards the agent's calls to its worker against what clocks do to them.
#include "platform/workerclient.h"
#include "net/httpserver.h"
#include "net/testloop.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *EmptyListing = R"({"clockMs":5000,"running":[],"ended":[],"born":7})";
constexpr std::uint64_t SeenToken = 1'000'000;

// A worker that answers as a test says, and the client that follows it.
class ScriptedWorker
{
public:
    using Answer = std::function<std::optional<HttpResponse>(const std::string &target,
                                                             const nlohmann::json &call)>;

    // No answer: the call stays open.
    explicit ScriptedWorker(Answer answer, std::uint64_t token = 1)
        : client(context, timers, bounds, token,
                 {[this](const RunKey &, StartAnswer said) { startAnswer = said; },
                  [](const RunKey &, bool) {}, [this](const RunListing &) { ++listings; },
                  [] { return true; }, [this] { return leaseLimit; }, [this] { ++leasesExpired; },
                  [this] { refused = true; }, [] {}})
        , m_answer(std::move(answer))
    {
        HttpServerSettings settings;
        settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
        m_server =
            HttpServer::create(
                context, timers, settings,
                [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                    ++calls;
                    auto said = m_answer(request.target, nlohmann::json::parse(request.body));
                    if (said)
                        return exchange->respond(std::move(*said));
                    m_unanswered.push_back(exchange);
                })
                .value();
    }

    void follow(std::uint64_t born = 7)
    {
        client.follow({"i-1", born}, {boost::asio::ip::address_v4::loopback(), m_server->port()});
    }
    StartAnswer start(std::uint64_t run = 1)
    {
        startAnswer.reset();
        client.start({RunKey{JobKey(1), 0, 0, RunNumber(run)}, "payload"});
        REQUIRE(until([this] { return startAnswer.has_value(); }));
        return *startAnswer;
    }
    void crash() { m_server.reset(); }
    bool until(const std::function<bool()> &condition)
    {
        return Testing::runUntil(context, condition);
    }
    void pass(Duration span)
    {
        for (const TimePoint end = timers.now() + span; timers.now() < end;)
            context.run_one_for(1ms);
    }

    boost::asio::io_context context;
    TimerService timers{context};
    PlatformBounds bounds;
    int calls = 0;
    int listings = 0;
    int leasesExpired = 0;
    bool refused = false;
    std::optional<TimePoint> leaseLimit;
    std::optional<StartAnswer> startAnswer;
    WorkerClient client;

private:
    Answer m_answer;
    std::unique_ptr<HttpServer> m_server;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

HttpResponse listing()
{
    return {200, EmptyListing, {}};
}

// Answer of a worker that has seen orders with SeenToken.
HttpResponse fenced(const nlohmann::json &call)
{
    if (call["fencingToken"].get<std::uint64_t>() < SeenToken)
        return {409, R"({"clockMs":5000,"reason":"fence","born":7})", {}};
    return listing();
}

// A worker whose process ends after its first listing, when the client has found that.
std::unique_ptr<ScriptedWorker> crashedWorker()
{
    auto worker = std::make_unique<ScriptedWorker>(
        [](const std::string &, const nlohmann::json &) { return listing(); });
    worker->follow();
    REQUIRE(worker->until([&] { return worker->listings > 0; }));
    worker->crash();
    REQUIRE(worker->until([&] { return worker->leasesExpired > 0 && worker->refused; }));
    return worker;
}

// Answers its first call. With its first start it is gone, as a crashed process is: that connection
// breaks and nothing listens any more, while the renewals that wait on others hear nothing.
class VanishingWorker
{
public:
    VanishingWorker() { accept(); }

    // The next renewal is due later than this.
    bool foundGoneWithin(Duration span)
    {
        PlatformBounds bounds;
        bounds.longestLease = 100 * span;
        bool accounted = false;
        bool gone = false;
        WorkerClient client(m_context, m_timers, bounds, 1,
                            {[](const RunKey &, StartAnswer) {}, [](const RunKey &, bool) {},
                             [&](const RunListing &) { accounted = true; }, [] { return true; },
                             [] { return std::nullopt; }, [] {}, [&] { gone = true; }, [] {}});
        client.follow({"i-1", 7}, m_acceptor.local_endpoint());
        for (const TimePoint end = m_timers.now() + span; !gone && m_timers.now() < end;) {
            if (std::exchange(accounted, false))
                client.start({RunKey{JobKey(1), 0, 0, RunNumber(1)}, "payload"});
            m_context.run_one_for(1ms);
        }
        return gone;
    }

private:
    using Tcp = boost::asio::ip::tcp;
    struct Connection
    {
        explicit Connection(Tcp::socket accepted)
            : socket(std::move(accepted))
        { }
        Tcp::socket socket;
        std::array<char, 4'096> data{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
            if (error)
                return;
            m_connections.push_back(std::make_unique<Connection>(std::move(socket)));
            read(*m_connections.back());
            accept();
        });
    }
    void read(Connection &connection)
    {
        connection.socket.async_read_some(
            boost::asio::buffer(connection.data),
            [&, this](const boost::system::error_code &error, std::size_t bytes) {
                if (error)
                    return;
                const std::string text(connection.data.data(), bytes);
                if (text.find("/v1/run-start") != std::string::npos) {
                    m_acceptor.close();
                    connection.socket.close();
                    return;
                }
                if (!std::exchange(m_answered, true))
                    boost::asio::write(connection.socket, boost::asio::buffer(Listing));
                read(connection);
            });
    }

    static constexpr std::string_view Listing =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 51\r\n\r\n"
        R"({"clockMs":5000,"running":[],"ended":[],"born":7}  )";

    boost::asio::io_context m_context;
    TimerService m_timers{m_context};
    Tcp::acceptor m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}};
    std::vector<std::unique_ptr<Connection>> m_connections;
    bool m_answered = false;
};

// How the answer of a worker that replies to a start like this is reported.
StartAnswer reportedAnswer(unsigned status, const std::string &body)
{
    ScriptedWorker worker([&](const std::string &target, const nlohmann::json &) {
        return target == "/v1/run-start" ? HttpResponse{status, body, {}} : listing();
    });
    worker.follow();
    REQUIRE(worker.until([&] { return worker.listings > 0; }));
    return worker.start();
}

} // namespace

// Guards against a second run of a task whose start was carried out although the reply was an
// error.
TEST_CASE("only a refusal that the worker's interface names proves that a start did nothing")
{
    CHECK(reportedAnswer(200, R"({"clockMs":5})") == StartAnswer::Accepted);
    for (const char *reason : {"fence", "old", "late", "room", "ticket"})
        CHECK(reportedAnswer(409, nlohmann::json{{"reason", reason}}.dump())
              == StartAnswer::Refused);
    for (const unsigned status : {400U, 421U})
        CHECK(reportedAnswer(status, "{}") == StartAnswer::Refused);
    for (const unsigned status : {429U, 503U})
        CHECK(reportedAnswer(status, "{}") == StartAnswer::Unhealthy);
    for (const unsigned status : {202U, 404U, 408U, 500U, 502U, 504U}) {
        CAPTURE(status);
        CHECK(reportedAnswer(status, "{}") == StartAnswer::NoAnswer);
    }
    for (const char *body : {"", "{}", "unreadable", R"({"reason":7})", R"({"reason":"other"})"}) {
        CAPTURE(body);
        CHECK(reportedAnswer(409, body) == StartAnswer::NoAnswer);
    }
}

TEST_CASE("an end that can't be read and is listed again and again is not asked for without pause")
{
    ScriptedWorker worker([](const std::string &, const nlohmann::json &) {
        return HttpResponse{200, R"({"clockMs":5,"running":[],"ended":[["x"]],"born":7})", {}};
    });
    worker.follow();
    worker.pass(400ms);
    CHECK(worker.calls <= 50);
    CHECK(worker.calls > 5);
}

TEST_CASE("an agent that starts after its clock was set back still gets its orders carried out")
{
    for (const std::uint64_t behind : {1U, 2'000U, 60'000U}) {
        CAPTURE(behind);
        ScriptedWorker worker(
            [](const std::string &, const nlohmann::json &call) { return fenced(call); },
            SeenToken - behind);
        worker.follow();
        REQUIRE(worker.until([&] { return worker.listings > 0; }));
        CHECK(worker.start() == StartAnswer::Accepted);
    }
}

TEST_CASE("the lease of a worker that is gone runs out, though renewals go on being tried")
{
    const auto worker = crashedWorker();
    CHECK(worker->leasesExpired > 0);
    CHECK(worker->refused);
}

TEST_CASE("an expired lease is reported once, though renewals go on being tried")
{
    const auto worker = crashedWorker();
    worker->pass(500ms);
    CHECK(worker->leasesExpired == 1);
}

TEST_CASE("a worker whose connections break is found gone before the next renewal")
{
    VanishingWorker worker;
    CHECK(worker.foundGoneWithin(5s));
}

TEST_CASE("the next life of a worker that left gets a higher fencing token than late calls carry")
{
    std::vector<std::uint64_t> tokens;
    ScriptedWorker worker([&](const std::string &, const nlohmann::json &call) {
        tokens.push_back(call["fencingToken"].get<std::uint64_t>());
        return listing();
    });
    const auto callUnder = [&](std::uint64_t born) {
        tokens.clear();
        worker.follow(born);
        REQUIRE(worker.until([&] { return !tokens.empty(); }));
        return tokens.back();
    };
    const std::uint64_t before = callUnder(7);
    worker.client.unfollow();
    CHECK(callUnder(8) > before);
}

// Taken for later than it is, the time of a clock that is slow makes a lease end after the agent
// has counted its runs as lost.
TEST_CASE("no lease is asked for that is longer than the longest one by a slow clock")
{
    constexpr std::int64_t PercentOfOurs = 98;
    std::optional<TimePoint> read;
    int leases = 0;
    int tooLong = 0;
    ScriptedWorker worker([&](const std::string &, const nlohmann::json &call) {
        const TimePoint now = worker.timers.now();
        if (!read) {
            read = now;
            return listing();
        }
        if (call.contains("deadlineMs")) {
            const Duration lease = std::chrono::milliseconds(call["deadlineMs"].get<int>() - 5'000);
            const Duration clock = (now - *read) * PercentOfOurs / 100;
            ++leases;
            tooLong += lease > clock + worker.bounds.longestLease ? 1 : 0;
        }
        return HttpResponse{503, {}, {}};
    });
    worker.follow();
    worker.pass(700ms);
    CHECK(leases > 0);
    CHECK(tooLong == 0);
}

// Guards against runs that never end beside a worker that hangs: each renewal without an answer may
// have renewed the lease.
TEST_CASE("the lease of a worker that answers nothing any more runs out")
{
    bool silent = false;
    ScriptedWorker worker([&](const std::string &, const nlohmann::json &) {
        return silent ? std::nullopt : std::optional(listing());
    });
    worker.follow();
    REQUIRE(worker.until([&] { return worker.listings > 2; }));
    CHECK(worker.leasesExpired == 0);
    silent = true;
    CHECK(worker.until([&] { return worker.leasesExpired > 0; }));
    CHECK(worker.client.leasesOver());
}

// Guards against two overlapping runs of a task: an agent that freezes after a renewal can't stop
// the runs of a silent home before their job is submitted again.
TEST_CASE("a lease ends at its limit, and after that none is asked for")
{
    ScriptedWorker *self = nullptr;
    int beforeLimit = 0;
    int tooLong = 0;
    ScriptedWorker worker([&](const std::string &, const nlohmann::json &call) {
        const auto reading = [](TimePoint at) {
            return static_cast<std::uint64_t>(at.time_since_epoch() / 1ms);
        };
        if (call.contains("deadlineMs")) {
            ++beforeLimit;
            const auto deadline = call["deadlineMs"].get<std::uint64_t>();
            tooLong += deadline > reading(*self->leaseLimit) ? 1 : 0;
        }
        const nlohmann::json said{{"clockMs", reading(self->timers.now())},
                                  {"running", nlohmann::json::array()},
                                  {"ended", nlohmann::json::array()},
                                  {"born", 7}};
        return HttpResponse{200, said.dump(), {}};
    });
    self = &worker;
    worker.leaseLimit = worker.timers.now() + 500ms;
    worker.follow();
    worker.pass(600ms);
    CHECK(beforeLimit > 0);
    CHECK(worker.start() == StartAnswer::NotSent);
    CHECK(tooLong == 0);
}
