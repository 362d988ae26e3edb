// Guards against peers and networks that misbehave: each fault ends the link with its own reason,
// and a link that can be had is had again.
#include "net/messagecodec.h"
#include "net/rawpeer.h"
#include "net/testpeer.h"
#include "standins/faultrelay.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;

namespace {

struct Site
{
    boost::asio::io_context context;
    TimerService timers{context};
};

void shortTimeouts(PeerNodeSettings &settings)
{
    settings.timing.heartbeatInterval = Duration(50'000);
    settings.timing.silenceTimeout = Duration(400'000);
}

// A raw peer that has introduced itself to the node.
std::shared_ptr<RawPeer> introduced(Site &site, TestPeer &peer, std::uint64_t incarnation)
{
    auto raw = RawPeer::create(site.context);
    raw->upgrade(peer.node->port(), Secret);
    REQUIRE(runUntil(site.context, [&] { return raw->upgraded(); }));
    raw->sendFrame(helloFrame(incarnation));
    REQUIRE(runUntil(site.context, [&] { return !peer.ups.empty(); }));
    return raw;
}

// What the node counts when an introduced peer sends this frame.
void checkEnd(const std::string &frame, const std::string &reason, bool binary = true)
{
    Site site;
    TestPeer peer(site.context, site.timers, 1,
                  [](PeerNodeSettings &settings) { settings.maxFrameBytes = 2000; });
    const auto raw = introduced(site, peer, 9);
    raw->sendFrame(frame, binary);
    INFO(reason);
    CHECK(runUntil(site.context, [&] { return peer.closed(reason) == 1; }));
    CHECK(peer.downs == std::vector<Incarnation>{Incarnation(9)});
    CHECK(peer.received.empty());
}

} // namespace

TEST_CASE("A peer with a wrong secret is refused", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1,
                  [](PeerNodeSettings &settings) { settings.secret = "secret-of-the-testz"; });
    TestPeer right(site.context, site.timers, 2);
    left.node->dial(right.address());
    CHECK(runUntil(site.context, [&] {
        return right.closed("wrong_secret") >= 2 && left.closed("upgrade_rejected") >= 2;
    }));
    CHECK(left.ups.empty());
    CHECK(right.ups.empty());

    // Another first byte, a prefix of the secret and none at all.
    for (const std::string &secret :
         {"S" + std::string(Secret).substr(1), std::string(Secret).substr(0, 5), std::string()}) {
        const auto raw = RawPeer::create(site.context);
        raw->upgrade(right.node->port(), secret);
        CHECK(runUntil(site.context, [&] { return raw->closed(); }));
        CHECK_FALSE(raw->upgraded());
    }
}

TEST_CASE("Frames that break the protocol end the link with the reason", "[net]")
{
    checkEnd(encodeFrame(3, {Drain{}}), "sequence_gap");
    checkEnd(encodeFrame(1, {Drain{}}), "sequence_gap");
    checkEnd(encodeFrame(2, {Hello{}}), "no_hello");
    checkEnd("\x83\x03\x02\x80", "frame_rejected"); // version 3
    checkEnd("garbage", "frame_rejected");
    checkEnd(std::string(3000, '\x80'), "frame_too_large");
    checkEnd(encodeFrame(2, {Drain{}}), "protocol_error", false); // a text frame
}

TEST_CASE("A wrong version is counted as such", "[net]")
{
    Site site;
    TestPeer peer(site.context, site.timers, 1);
    const auto raw = introduced(site, peer, 9);
    raw->sendFrame("\x83\x03\x02\x80");
    CHECK(runUntil(site.context, [&] {
        return peer.counted("bluebellquay_peer_frames_rejected_total",
                            {{"reason", "wrong_version"}})
            == 1;
    }));
}

TEST_CASE("A peer that does not introduce itself is dropped", "[net]")
{
    Site site;
    TestPeer peer(site.context, site.timers, 1, shortTimeouts);
    const auto silent = RawPeer::create(site.context);
    silent->connect(peer.node->port()); // no upgrade request
    const auto upgraded = RawPeer::create(site.context);
    upgraded->upgrade(peer.node->port(), Secret); // no Hello
    CHECK(runUntil(site.context, [&] { return peer.closed("handshake_timeout") == 2; }));

    const auto rude = RawPeer::create(site.context);
    rude->upgrade(peer.node->port(), Secret);
    REQUIRE(runUntil(site.context, [&] { return rude->upgraded(); }));
    rude->sendFrame(encodeFrame(1, {Drain{}}));
    CHECK(runUntil(site.context, [&] { return peer.closed("no_hello") == 1; }));
    CHECK(peer.ups.empty());
    CHECK(peer.received.empty());
}

TEST_CASE("A connection that sends garbage instead of an upgrade request is dropped", "[net]")
{
    Site site;
    TestPeer peer(site.context, site.timers, 1);
    const auto raw = RawPeer::create(site.context);
    raw->connect(peer.node->port());
    raw->sendRaw("\r\n\x01\x02 nonsense\r\n\r\n");
    CHECK(runUntil(site.context, [&] { return peer.closed("upgrade_rejected") == 1; }));
}

TEST_CASE("A peer that falls silent is abandoned", "[net]")
{
    Site site;
    TestPeer peer(site.context, site.timers, 1, shortTimeouts);
    const auto raw = introduced(site, peer, 9);
    CHECK(runUntil(site.context, [&] { return peer.closed("silent") == 1; }));
    CHECK_FALSE(peer.node->connected(Incarnation(9)));
}

TEST_CASE("A peer that never reads is abandoned when too much is unsent", "[net]")
{
    Site site;
    TestPeer peer(site.context, site.timers, 1,
                  [](PeerNodeSettings &settings) { settings.maxUnsentBytes = 1UL << 20; });
    const auto raw = introduced(site, peer, 9);
    const Message document = ConfigDocument{ConfigVersion(1), "id", std::string(100'000, 'x')};
    CHECK(runUntil(site.context, [&] {
        peer.node->send(Incarnation(9), document);
        return peer.closed("unsent_limit") == 1;
    }));
    CHECK_FALSE(peer.node->send(Incarnation(9), document));
}

TEST_CASE("A message that no frame can hold is dropped and the link stays", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1,
                  [](PeerNodeSettings &settings) { settings.maxFrameBytes = 2000; });
    TestPeer right(site.context, site.timers, 2);
    left.node->dial(right.address());
    REQUIRE(runUntil(site.context, [&] { return left.node->connected(Incarnation(2)); }));
    CHECK_FALSE(left.node->send(Incarnation(2),
                                ConfigDocument{ConfigVersion(1), "id", std::string(2000, 'x')}));
    CHECK(left.node->send(Incarnation(2), Drain{}));
    CHECK(runUntil(site.context, [&] { return right.received.size() == 1; }));
}

TEST_CASE("A link that goes silent for good is replaced by one that works", "[net]")
{
    const auto direction = GENERATE(RelayDirection::Both, RelayDirection::Up, RelayDirection::Down);
    Site site;
    TestPeer left(site.context, site.timers, 1, shortTimeouts);
    TestPeer right(site.context, site.timers, 2, shortTimeouts);
    const auto relay = FaultRelay::create(site.context, 0, right.node->port());
    left.node->dial("127.0.0.1:" + std::to_string(relay->port()));
    REQUIRE(runUntil(site.context, [&] { return !left.ups.empty() && !right.ups.empty(); }));
    relay->silence(direction);
    REQUIRE(runUntil(site.context, [&] { return left.ups.size() > 1 && right.ups.size() > 1; }));
    CHECK(left.closed("silent") + right.closed("silent") >= 1);
    REQUIRE(runUntil(site.context, [&] {
        left.node->send(Incarnation(2), Drain{});
        right.node->send(Incarnation(1), Drain{});
        return !left.received.empty() && !right.received.empty();
    }));
    relay->stop();
}

TEST_CASE("A connection reset in the middle of a frame loses no later message", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1);
    TestPeer right(site.context, site.timers, 2);
    const auto relay = FaultRelay::create(site.context, 0, right.node->port());
    left.node->dial("127.0.0.1:" + std::to_string(relay->port()));
    REQUIRE(runUntil(site.context, [&] { return !left.ups.empty() && !right.ups.empty(); }));
    relay->resetInFrame();
    REQUIRE(left.node->send(Incarnation(2),
                            ConfigDocument{ConfigVersion(1), "id", std::string(10'000, 'x')}));
    REQUIRE(runUntil(site.context, [&] { return left.ups.size() == 2 && right.ups.size() == 2; }));
    CHECK(left.closed("lost") == 1);
    CHECK(right.received.empty()); // half a frame is no frame
    CHECK(left.node->send(Incarnation(2), Drain{}));
    CHECK(runUntil(site.context, [&] { return right.received.size() == 1; }));
    relay->stop();
}

TEST_CASE("Two links to one process become one, whoever dialled", "[net]")
{
    const bool cross = GENERATE(false, true);
    Site site;
    TestPeer left(site.context, site.timers, 1);
    TestPeer right(site.context, site.timers, 2);
    const auto relay = FaultRelay::create(site.context, 0, right.node->port());
    left.node->dial(right.address());
    if (cross)
        right.node->dial(left.address());
    else
        left.node->dial("127.0.0.1:" + std::to_string(relay->port()));
    const auto settled = [](TestPeer &peer, std::uint64_t other) {
        // The side that learns of the newer link later sees the other one end first.
        return peer.closed("replaced") + peer.closed("duplicate") + peer.closed("lost") >= 1
            && peer.node->connected(Incarnation(other));
    };
    REQUIRE(runUntil(site.context, [&] { return settled(left, 2) && settled(right, 1); }));
    REQUIRE(runUntil(site.context, [&] {
        left.node->send(Incarnation(2), Drain{});
        right.node->send(Incarnation(1), Drain{});
        return !left.received.empty() && !right.received.empty();
    }));
    for (TestPeer *peer : {&left, &right})
        CHECK(peer->metrics.gauge("bluebellquay_peer_links").value() == 1);
    relay->stop();
}

TEST_CASE("A process that starts late, or again, is reached by redialling", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1);
    auto right = std::make_unique<TestPeer>(site.context, site.timers, 2);
    const unsigned short port = right->node->port();
    const auto samePort = [port](PeerNodeSettings &settings) { settings.endpoint.port(port); };
    right.reset();
    left.node->dial("127.0.0.1:" + std::to_string(port));
    REQUIRE(runUntil(site.context, [&] { return left.closed("connect_failed") >= 2; }));
    right = std::make_unique<TestPeer>(site.context, site.timers, 3, samePort);
    REQUIRE(runUntil(site.context, [&] { return left.node->connected(Incarnation(3)); }));
    right.reset();
    REQUIRE(runUntil(site.context, [&] { return !left.downs.empty(); }));
    right = std::make_unique<TestPeer>(site.context, site.timers, 4, samePort);
    REQUIRE(runUntil(site.context, [&] { return left.node->connected(Incarnation(4)); }));

    left.node->forget("127.0.0.1:" + std::to_string(port));
    REQUIRE(runUntil(site.context, [&] { return left.downs.size() == 2; }));
    const std::uint64_t dials = left.counted("bluebellquay_peer_dials_total");
    site.context.restart();
    site.context.run_for(std::chrono::milliseconds(50));
    CHECK(left.counted("bluebellquay_peer_dials_total") == dials);
}

// Guards against an attempt that hangs until its time-out while the peer is back: seen after a loss
// of all power, when agents had dialled entries that started a little later.
TEST_CASE("A peer that says that it has started is dialled at once", "[net]")
{
    Site site;
    const auto noRedial = [](PeerNodeSettings &settings) {
        settings.minRedialDelay = settings.maxRedialDelay = std::chrono::hours(1);
        settings.timing.silenceTimeout = std::chrono::hours(1);
    };
    TestPeer left(site.context, site.timers, 1, noRedial);
    // Accepts connections and answers nothing.
    boost::asio::ip::tcp::acceptor silent(site.context,
                                          {boost::asio::ip::address_v4::loopback(), 0});
    const unsigned short port = silent.local_endpoint().port();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    left.node->dialAgain(address);
    CHECK(left.counted("bluebellquay_peer_dials_total") == 0);
    left.node->dial(address);
    left.node->dialAgain(address);
    CHECK(left.closed("restarted") == 1);
    CHECK(left.counted("bluebellquay_peer_dials_total") == 2);

    silent.close();
    REQUIRE(runUntil(site.context,
                     [&] { return left.closed("lost") + left.closed("connect_failed") > 0; }));
    TestPeer right(site.context, site.timers, 2,
                   [port](PeerNodeSettings &settings) { settings.endpoint.port(port); });
    left.node->dialAgain(address);
    REQUIRE(runUntil(site.context, [&] { return left.node->connected(Incarnation(2)); }));
    left.node->dialAgain(address);
    CHECK(left.counted("bluebellquay_peer_dials_total") == 3);
}

TEST_CASE("An address that can't be used is counted and harms no other", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1);
    TestPeer right(site.context, site.timers, 2);
    for (const char *address :
         {"", ":", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "[::1:80", "host:1"})
        left.node->dial(address);
    left.node->dial(right.address());
    CHECK(runUntil(site.context, [&] {
        return left.node->connected(Incarnation(2)) && left.closed("connect_failed") >= 7;
    }));
}

TEST_CASE("A process that dials itself gets no link", "[net]")
{
    Site site;
    TestPeer peer(site.context, site.timers, 1);
    peer.node->dial(peer.address());
    CHECK(runUntil(site.context, [&] { return peer.closed("self_link") >= 1; }));
    CHECK(peer.ups.empty());
    CHECK_FALSE(peer.node->connected(Incarnation(1)));
}

TEST_CASE("A node may be destroyed by one of its own handlers", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1);
    TestPeer right(site.context, site.timers, 2);
    right.onReceived = [&](Incarnation, const Message &) { right.node.reset(); };
    left.node->dial(right.address());
    REQUIRE(runUntil(site.context, [&] { return left.node->connected(Incarnation(2)); }));
    REQUIRE(left.node->send(Incarnation(2), Drain{Correlation(1)}));
    REQUIRE(left.node->send(Incarnation(2), Drain{Correlation(2)}));
    CHECK(runUntil(site.context, [&] { return !left.downs.empty(); }));
    CHECK(right.received.size() == 1);
}

TEST_CASE("Heartbeats flow on an idle link and measure its round trip", "[net]")
{
    Site site;
    TestPeer left(site.context, site.timers, 1, shortTimeouts);
    TestPeer right(site.context, site.timers, 2, shortTimeouts);
    left.node->dial(right.address());
    CHECK(runUntil(site.context, [&] {
        return left.heartbeats >= 3 && right.heartbeats >= 3
            && left.metrics.histogram("bluebellquay_peer_round_trip_seconds").count() >= 2;
    }));
}
