// Guards against requests of random or damaged bytes that crash the server or disturb other calls.
// RapidCheck prints its seed; RC_PARAMS="seed=..." repeats a run.
#include "net/serverfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Bluebellquay::Testing;

namespace {

const std::string &goodRequest()
{
    static const std::string Request = post(StatusPath, R"({"id":"a"})");
    return Request;
}

// Sends the bytes, ends sending, and waits until the server has closed.
bool survives(unsigned short port, const std::string &bytes)
{
    RawConnection connection(port);
    connection.send(bytes);
    connection.shutdownSend();
    return connection.waitForClose() && roundTrip(port, goodRequest()).status == 200;
}

} // namespace

TEST_CASE("Random bytes never stop the server", "[net]")
{
    ServerFixture server;
    CHECK(rc::check("random bytes",
                    [&](const std::string &bytes) { RC_ASSERT(survives(server.port(), bytes)); }));
}

TEST_CASE("Damaged requests never stop the server", "[net]")
{
    ServerFixture server;
    CHECK(rc::check("damaged requests", [&] {
        std::string bytes = goodRequest() + goodRequest();
        const auto damages =
            *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(rc::gen::pair(
                rc::gen::inRange<std::size_t>(0, bytes.size()), rc::gen::arbitrary<char>()));
        for (const auto &[position, value] : damages)
            bytes[position] = value;
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        RC_ASSERT(survives(server.port(), bytes));
    }));
}

TEST_CASE("Random bodies are answered in both encodings", "[net]")
{
    ServerFixture server;
    CHECK(rc::check("random bodies", [&](const std::string &body, bool json) {
        const unsigned status =
            roundTrip(server.port(),
                      post(StatusPath, body, {}, json ? "application/json" : "application/proto"))
                .status;
        RC_ASSERT(status == 200U || status == 400U);
    }));
}
