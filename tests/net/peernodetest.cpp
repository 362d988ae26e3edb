// Guards against links that lose, reorder or duplicate messages, or that tell wrong states.
#include "net/testpeer.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;

TEST_CASE("Two peers exchange Hello and messages in order", "[net]")
{
    boost::asio::io_context context;
    TimerService timers(context);
    TestPeer left(context, timers, 1);
    TestPeer right(context, timers, 2);
    left.node->dial(right.address());
    REQUIRE(runUntil(context, [&] { return !left.ups.empty() && !right.ups.empty(); }));
    CHECK(left.ups[0].name == "peer-2");
    CHECK(right.ups[0].name == "peer-1");
    CHECK(left.node->connected(Incarnation(2)));

    constexpr std::uint64_t Count = 5000; // more than one frame holds
    for (std::uint64_t i = 0; i < Count; ++i) {
        REQUIRE(left.node->send(Incarnation(2), StopWaiting{Correlation(i)}));
        REQUIRE(right.node->send(Incarnation(1), Drain{Correlation(i)}));
    }
    REQUIRE(runUntil(
        context, [&] { return left.received.size() >= Count && right.received.size() >= Count; }));
    for (std::uint64_t i = 0; i < Count; ++i) {
        CHECK(right.received[i] == Message(StopWaiting{Correlation(i)}));
        CHECK(left.received[i] == Message(Drain{Correlation(i)}));
    }
    CHECK(left.counted("bluebellquay_peer_frames_sent_total") <= 4);
    CHECK_FALSE(left.node->send(Incarnation(3), Drain{}));
}

TEST_CASE("A stop sends what is queued and ends the links of both sides", "[net]")
{
    const bool dialerStops = GENERATE(true, false);
    boost::asio::io_context context;
    TimerService timers(context);
    TestPeer left(context, timers, 1);
    TestPeer right(context, timers, 2);
    (dialerStops ? left : right).node->dial((dialerStops ? right : left).address());
    REQUIRE(runUntil(context, [&] { return !left.ups.empty() && !right.ups.empty(); }));
    bool stopped = false;
    REQUIRE(left.node->send(Incarnation(2), Drain{Correlation(7)}));
    left.node->stop([&] { stopped = true; });
    REQUIRE(runUntil(context, [&] { return stopped && !right.downs.empty(); }));
    CHECK(right.received == std::vector<Message>{Drain{Correlation(7)}});
    CHECK(left.downs == std::vector<Incarnation>{Incarnation(2)});
    CHECK(right.closed("peer_closed") == 1);
    CHECK(left.closed("stopping") == 1);
}

// Seen on hinokuni-archive with deploy/days/agents-freeze-and-wake.toml: an agent that woke after
// three seconds carried out an order whose task its home had started elsewhere meanwhile.
TEST_CASE("what arrived while a process was paused for longer than a silence is dropped", "[net]")
{
    constexpr Duration Silence{100'000};
    const auto quickSilence = [Silence](PeerNodeSettings &settings) {
        settings.timing.silenceTimeout = Silence;
        settings.timing.heartbeatInterval = Silence / 5;
    };
    boost::asio::io_context senderContext;
    boost::asio::io_context pausedContext;
    TimerService senderTimers(senderContext);
    TimerService pausedTimers(pausedContext);
    TestPeer sender(senderContext, senderTimers, 1, quickSilence);
    TestPeer paused(pausedContext, pausedTimers, 2, quickSilence);
    sender.node->dial(paused.address());
    REQUIRE(runUntil(senderContext, [&] {
        pausedContext.restart();
        pausedContext.poll();
        return !sender.ups.empty() && !paused.ups.empty();
    }));
    REQUIRE(sender.node->send(Incarnation(2), Drain{Correlation(7)}));
    senderContext.restart();
    senderContext.poll();
    // Only a lower bound matters: the message waits in the socket for at least this long.
    std::this_thread::sleep_for(2 * Silence);
    REQUIRE(runUntil(pausedContext, [&] { return !paused.downs.empty(); }));
    CHECK(paused.received.empty());
    CHECK(paused.closed("silent") == 1);
}

// Guards against two overlapping runs of a task: a process that stood still took a peer that had
// died meanwhile for alive, since the peer's last words lay unread.
TEST_CASE("a sign of life counts from its question, however late it is read", "[net]")
{
    constexpr Duration Interval{20'000};
    const auto pingOften = [Interval](PeerNodeSettings &settings) {
        settings.timing.heartbeatInterval = Interval;
        settings.timing.pingInterval = Interval;
        settings.timing.silenceTimeout = Duration(20'000'000);
    };
    boost::asio::io_context askerContext;
    boost::asio::io_context peerContext;
    TimerService askerTimers(askerContext);
    TimerService peerTimers(peerContext);
    TestPeer asker(askerContext, askerTimers, 1, pingOften);
    TestPeer peer(peerContext, peerTimers, 2);
    const TimePoint dialed = askerTimers.now();
    asker.node->dial(peer.address());
    // The opening of the link is the first sign, its first ping follows at once.
    REQUIRE(runUntil(askerContext, [&] {
        peerContext.restart();
        peerContext.poll();
        return asker.alive.size() >= 2;
    }));
    CHECK(asker.alive.front() >= dialed);
    CHECK(asker.ups.size() == 1);
    // A ping is sent and answered; the answer lies unread for a while.
    askerContext.restart();
    askerContext.run_for(2 * Interval);
    const TimePoint asked = askerTimers.now();
    peerContext.restart();
    peerContext.poll();
    std::this_thread::sleep_for(10 * Interval);
    const std::size_t before = asker.alive.size();
    REQUIRE(runUntil(askerContext, [&] { return asker.alive.size() > before; }));
    CHECK(asker.alive[before] <= asked);
}
