// Tests until when the lease of a worker may last: the runs of a home that is silent, or that has
// released them, must be over before their job is submitted again.
#include "core/leaselimit.h"
#include "core/trackedruns.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

constexpr Incarnation Home{5};
constexpr Incarnation OtherHome{6};
constexpr Duration Span = 1200ms;

class LeaseLimitFixture
{
public:
    LeaseLimitFixture()
    {
        limit.homeUp(now, Home);
        limit.homeUp(now, OtherHome);
    }

    // A run that has been started for the home.
    TrackedRun &start(Incarnation home, std::uint64_t run)
    {
        const RunKey key = addWaiting(home, run);
        runs.start(now, runs.find(key));
        return runs.find(key)->second;
    }
    RunKey addWaiting(Incarnation home, std::uint64_t run)
    {
        const RunKey key{JobKey(1), 0, 0, RunNumber(run)};
        TrackedRun waiting;
        waiting.home = home;
        runs.addWaiting(key, waiting);
        return key;
    }

    TimePoint now{1s};
    LeaseLimit limit{Span};
    TrackedRuns runs;
};

} // namespace

TEST_CASE_METHOD(LeaseLimitFixture, "a worker that runs nothing has no limit of its lease")
{
    CHECK_FALSE(limit.of(runs));
    addWaiting(Home, 1);
    CHECK_FALSE(limit.of(runs));
}

// Guards against two overlapping runs: an agent that freezes again and again would renew the lease
// in between, and never read the stop of a home.
TEST_CASE_METHOD(LeaseLimitFixture, "the home that was silent for longest limits the lease")
{
    start(Home, 1);
    start(OtherHome, 2);
    limit.heard(now + 300ms, Home);
    CHECK(limit.of(runs) == now + Span);
    limit.heard(now + 400ms, OtherHome);
    CHECK(limit.of(runs) == now + 300ms + Span);
}

// Guards against two overlapping runs: stops that were lost with the link before are still to come.
TEST_CASE_METHOD(LeaseLimitFixture, "a new link alone does not move the limit on")
{
    start(Home, 1);
    limit.homeUp(now + 900ms, Home);
    CHECK(limit.of(runs) == now + Span);
}

TEST_CASE_METHOD(LeaseLimitFixture, "a home without runs does not limit the lease")
{
    start(Home, 1);
    limit.heard(now + 5s, Home);
    CHECK(limit.of(runs) == now + 5s + Span);
}

// Guards against two overlapping runs: a worker that carries no stop out would keep the run.
TEST_CASE_METHOD(LeaseLimitFixture, "a released run limits the lease from its release on")
{
    start(Home, 1).releaseAt(now + 100ms);
    limit.heard(now + 2s, Home);
    CHECK(limit.of(runs) == now + 100ms + Span);
}

TEST_CASE_METHOD(LeaseLimitFixture,
                 "the runs of a home that was given up are limited by its last message")
{
    start(Home, 1);
    limit.heard(now + 200ms, Home);
    limit.giveUp(Home, runs);
    limit.homeUp(now + 5s, Home);
    CHECK(limit.of(runs) == now + 200ms + Span);
}

TEST_CASE_METHOD(LeaseLimitFixture, "messages of a home that was given up change nothing")
{
    limit.giveUp(Home, runs);
    limit.heard(now, Home);
    start(Home, 1);
    CHECK_FALSE(limit.of(runs));
}
