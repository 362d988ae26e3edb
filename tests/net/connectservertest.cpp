// Guards against a server that answers a bad request wrongly, stops serving because of one, loses
// an answer, or keeps connections of peers that are slow or gone.
#include "net/serverfixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view GoodBody = R"({"id":"a"})";

const std::string &goodRequest()
{
    static const std::string Request = post(StatusPath, GoodBody);
    return Request;
}

struct Rejection
{
    const char *name;
    std::string request;
    unsigned status;
    const char *code;
};

std::string withMethod(const std::string &method)
{
    return method + std::string(goodRequest()).substr(4);
}

} // namespace

TEST_CASE("Bad requests get the published status and code, and the connection stays", "[net]")
{
    ServerFixture server;
    const std::string proto = "application/proto";
    const Rejection rejections[] = {
        {"JSON syntax", post(StatusPath, R"({"id":)"), 400, "invalid_argument"},
        {"JSON field", post(StatusPath, R"({"idd":"a"})"), 400, "invalid_argument"},
        {"JSON type", post(StatusPath, R"({"id":[1]})"), 400, "invalid_argument"},
        {"empty JSON", post(StatusPath, ""), 400, "invalid_argument"},
        {"protobuf", post(StatusPath, "\x0a\x7f", {}, proto), 400, "invalid_argument"},
        {"method", post("/bluebellquay.v1.Dispatcher/Nothing", "{}"), 404, "unimplemented"},
        {"content type", post(StatusPath, "{}", {}, "text/xml"), 415, ""},
        {"PUT", withMethod("PUT"), 405, ""},
        {"GET", "GET " + std::string(StatusPath) + " HTTP/1.1\r\nHost: a\r\n\r\n", 405, ""},
        {"GET path", "GET /none HTTP/1.1\r\nHost: a\r\n\r\n", 404, ""},
        {"POST on GET path", post("/ready", "{}"), 405, ""},
        {"version", post(StatusPath, GoodBody, "Connect-Protocol-Version: 2\r\n"), 400,
         "invalid_argument"},
        {"timeout", post(StatusPath, GoodBody, "Connect-Timeout-Ms: 1s\r\n"), 400,
         "invalid_argument"},
        {"long timeout", post(StatusPath, GoodBody, "Connect-Timeout-Ms: 12345678901\r\n"), 400,
         "invalid_argument"},
        {"encoding", post(StatusPath, GoodBody, "Content-Encoding: gzip\r\n"), 501,
         "unimplemented"},
    };
    RawConnection connection(server.port());
    for (const Rejection &rejection : rejections) {
        INFO(rejection.name);
        connection.send(rejection.request);
        const RawResponse response = connection.receive();
        CHECK(response.status == rejection.status);
        CHECK(response.code() == rejection.code);
    }
    CHECK(server.calls() == 0);
    connection.send(goodRequest());
    CHECK(connection.receive().body == GoodBody);
}

TEST_CASE("Answers, errors and timeouts pass through in both encodings", "[net]")
{
    ServerFixture server;
    const RawResponse json =
        roundTrip(server.port(),
                  post(StatusPath, R"({"id":"b"})", "Connect-Timeout-Ms: 1500\r\n",
                       "Application/JSON; charset=utf-8"));
    CHECK(json.body == R"({"id":"b","retryAfterMs":1500})");
    const RawResponse proto =
        roundTrip(server.port(), post(StatusPath, "\x0a\x01z", {}, "application/proto"));
    CHECK(proto.status == 200);
    CHECK(proto.body == "\x0a\x01z");
    const RawResponse error = roundTrip(server.port(), post(StatusPath, R"({"id":"fail"})"));
    CHECK(error.status == 404);
    CHECK(error.body == R"({"code":"not_found","message":"no such \"id\""})");
    CHECK(roundTrip(server.port(), "GET /ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n").body == "ok");
}

TEST_CASE("Only calls with the secret are served", "[net]")
{
    ConnectServerSettings settings = loopbackSettings();
    settings.bearerSecret = "secret";
    ServerFixture server(settings);
    for (const char *value : {"", "Authorization: Bearer wrong\r\n", "Authorization: Bearer \r\n",
                              "Authorization: Bearer secre\r\n", "Authorization: Basic secret\r\n",
                              "Authorization: Bearer secretsecret\r\n"}) {
        const RawResponse response = roundTrip(server.port(), post(StatusPath, GoodBody, value));
        CHECK(response.status == 401);
        CHECK(response.code() == "unauthenticated");
    }
    CHECK(server.calls() == 0);
    CHECK(roundTrip(server.port(), post(StatusPath, GoodBody, "Authorization: Bearer secret\r\n"))
              .status
          == 200);
}

TEST_CASE("Oversized bodies and heads are refused and end the connection", "[net]")
{
    ConnectServerSettings settings = loopbackSettings();
    settings.maxBodyBytes = 1000;
    ServerFixture server(settings);
    const std::string large(100'000, ' ');
    const std::string chunked = "POST " + std::string(StatusPath)
        + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
          "Transfer-Encoding: chunked\r\n\r\n"
          "186a0\r\n"
        + large + "\r\n0\r\n\r\n";
    for (const std::string &request : {post(StatusPath, large), chunked}) {
        RawConnection connection(server.port());
        connection.send(request);
        const RawResponse response = connection.receive();
        CHECK(response.status == 429);
        CHECK(response.code() == "resource_exhausted");
        CHECK(response.head.find("Connection: close") != std::string::npos);
        connection.shutdownSend();
        CHECK(connection.waitForClose());
    }
    CHECK(roundTrip(server.port(), post(StatusPath, "{}", "X: " + large + "\r\n")).status == 431);
    CHECK(server.calls() == 0);
}

TEST_CASE("Slow and silent senders are closed by timeout", "[net]")
{
    ConnectServerSettings settings = loopbackSettings();
    settings.requestTimeout = 100ms;
    settings.idleTimeout = 100ms;
    ServerFixture server(settings);
    for (const std::size_t size : {std::size_t(0), std::size_t(30), goodRequest().size() - 1}) {
        RawConnection connection(server.port());
        connection.send(std::string_view(goodRequest()).substr(0, size));
        CHECK(connection.waitForClose());
    }
    CHECK(server.calls() == 0);
    RawConnection idle(server.port());
    idle.send(goodRequest());
    CHECK(idle.receive().status == 200);
    CHECK(idle.waitForClose());
}

TEST_CASE("Requests are found in any division of the bytes and answered in order", "[net]")
{
    ServerFixture server;
    RawConnection connection(server.port());
    std::string pipelined;
    constexpr int Requests = 200;
    for (int i = 0; i < Requests; ++i)
        pipelined += post(StatusPath, R"({"id":")" + std::to_string(i) + R"("})");
    connection.send(pipelined);
    for (int i = 0; i < Requests; ++i)
        CHECK(connection.receive().body == R"({"id":")" + std::to_string(i) + R"("})");
    for (const char &byte : goodRequest())
        connection.send({&byte, 1});
    CHECK(connection.receive().body == GoodBody);
}

TEST_CASE("A client that waits for 100 Continue gets it", "[net]")
{
    ServerFixture server;
    const std::string request = post(StatusPath, GoodBody, "Expect: 100-continue\r\n");
    RawConnection connection(server.port());
    connection.send(request.substr(0, request.size() - GoodBody.size()));
    CHECK(connection.receive().status == 100);
    connection.send(GoodBody);
    CHECK(connection.receive().body == GoodBody);
}

TEST_CASE("A client that leaves before the answer harms no one", "[net]")
{
    ServerFixture server;
    {
        RawConnection truncated(server.port());
        truncated.send(goodRequest().substr(0, 60));
        RawConnection held(server.port());
        held.send(post(StatusPath, R"({"id":"hold"})"));
        REQUIRE(server.waitForCalls(1));
    }
    server.release();
    CHECK(roundTrip(server.port(), goodRequest()).status == 200);
}

TEST_CASE("A handler that drops its completion does not leave the caller waiting", "[net]")
{
    ServerFixture server;
    const RawResponse response = roundTrip(server.port(), post(StatusPath, R"({"id":"drop"})"));
    CHECK(response.status == 500);
    CHECK(response.code() == "internal");
}

TEST_CASE("Connections above the limit are told so and leave room again", "[net]")
{
    ConnectServerSettings settings = loopbackSettings();
    settings.maxConnections = 1;
    ServerFixture server(settings);
    RawConnection first(server.port());
    first.send(goodRequest());
    CHECK(first.receive().status == 200);
    const RawResponse refused = roundTrip(server.port(), goodRequest());
    CHECK(refused.status == 503);
    CHECK(refused.code() == "unavailable");
    CHECK(server.calls() == 1);
    first.close();
    unsigned status = 503;
    for (int i = 0; i < 1000 && status == 503; ++i)
        status = roundTrip(server.port(), goodRequest()).status;
    CHECK(status == 200);
}

TEST_CASE("A stop answers the call in progress, closes idle connections and reports", "[net]")
{
    ServerFixture server;
    RawConnection idle(server.port());
    idle.send(goodRequest());
    CHECK(idle.receive().status == 200);
    RawConnection busy(server.port());
    busy.send(post(StatusPath, R"({"id":"hold"})"));
    REQUIRE(server.waitForCalls(2));
    std::promise<void> stopped;
    auto future = stopped.get_future();
    server.run([&](ConnectServer &running) { running.stop([&] { stopped.set_value(); }); });
    CHECK(idle.waitForClose());
    CHECK(future.wait_for(0s) == std::future_status::timeout);
    CHECK_THROWS(RawConnection(server.port()));
    server.release();
    const RawResponse response = busy.receive();
    CHECK(response.body == R"({"id":"released"})");
    CHECK(response.head.find("Connection: close") != std::string::npos);
    busy.close();
    CHECK(future.wait_for(10s) == std::future_status::ready);
}

TEST_CASE("A server is destroyed with a call in progress", "[net]")
{
    RawConnection *connection = nullptr;
    std::unique_ptr<RawConnection> holder;
    {
        ServerFixture server;
        holder = std::make_unique<RawConnection>(server.port());
        connection = holder.get();
        connection->send(post(StatusPath, R"({"id":"hold"})"));
        REQUIRE(server.waitForCalls(1));
    }
    CHECK(connection->waitForClose());
}
