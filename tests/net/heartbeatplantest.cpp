// Guards against peers that take a link for silent because its heartbeats were left out, and
// against heartbeats and pings that cost more than the messages.
#include "net/heartbeatplan.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval{150'000};
constexpr Duration PingInterval{5'000'000};

} // namespace

TEST_CASE("an idle link sends every heartbeat", "[net]")
{
    HeartbeatPlan plan(Interval, 3 * Interval, PingInterval);
    TimePoint lastFrame{10s};
    for (TimePoint now = lastFrame + Interval; now < TimePoint(20s); now += Interval) {
        CHECK(plan.heartbeatDue(now, lastFrame));
        lastFrame = now;
    }
}

TEST_CASE("a busy link leaves heartbeats out, but none for longer than the gap", "[net]")
{
    HeartbeatPlan plan(Interval, 3 * Interval, PingInterval);
    TimePoint last{10s};
    int sent = 0;
    for (TimePoint now = last; now < TimePoint(19s); now += Interval) {
        if (!plan.heartbeatDue(now, now - 10ms))
            continue;
        CHECK(now - last <= 3 * Interval);
        last = now;
        ++sent;
    }
    CHECK(sent == 20);
}

TEST_CASE("frames are never further apart than one and a half intervals", "[net]")
{
    HeartbeatPlan plan(Interval, 3 * Interval, PingInterval);
    TimePoint lastFrame{10s};
    for (TimePoint now = lastFrame; now < TimePoint(20s); now += Interval) {
        // A message shortly before each second heartbeat.
        const bool message = now.time_since_epoch() / Interval % 2 == 0;
        if (message)
            lastFrame = now - Interval / 2 + 1ms;
        if (plan.heartbeatDue(now, lastFrame))
            lastFrame = now;
        CHECK(now - lastFrame <= Interval / 2);
    }
}

TEST_CASE("without a gap no heartbeat is left out", "[net]")
{
    HeartbeatPlan plan(Interval, Duration(0), PingInterval);
    for (TimePoint now{10s}; now < TimePoint(12s); now += Interval)
        CHECK(plan.heartbeatDue(now, now - 1ms));
}

TEST_CASE("round trips are measured at their own, longer interval", "[net]")
{
    HeartbeatPlan plan(Interval, Duration(0), PingInterval);
    int pings = 0;
    for (TimePoint now{10s}; now < TimePoint(40s); now += Interval)
        pings += plan.pingDue(now) ? 1 : 0;
    CHECK(pings <= 30s / PingInterval);
    CHECK(pings >= 5);
}

// Guards against leases that are cut short for want of a recent sign of life.
TEST_CASE("pings at the interval of heartbeats are never left out", "[net]")
{
    HeartbeatPlan plan(Interval, 3 * Interval, Interval);
    CHECK(plan.pingDue(TimePoint(10s)));
    // Early and late by the jitter of timers.
    CHECK(plan.pingDue(TimePoint(10s) + Interval - 1ms));
    CHECK(plan.pingDue(TimePoint(10s) + 2 * Interval + 1ms));
    CHECK(plan.pingDue(TimePoint(10s) + 3 * Interval));
}
