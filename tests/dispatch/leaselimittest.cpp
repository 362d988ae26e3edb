// Tests until when the lease of a worker may last: the runs of a home that is silent, or that has
// released them, must be over before their job is submitted again.
#include "core/leaselimit.h"
#include "core/homecontacts.h"
#include "core/trackedruns.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

constexpr Incarnation Home{5};
constexpr Incarnation OtherHome{6};
constexpr Duration Span = 1200ms;
constexpr Duration InTouchFor = 1050ms;

class LeaseLimitFixture
{
public:
    LeaseLimitFixture()
    {
        for (const Incarnation home : {Home, OtherHome}) {
            contacts.homeUp(home);
            contacts.alive(now, home, now);
        }
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
    HomeContacts contacts{InTouchFor};
    LeaseLimit limit{Span, contacts};
    TrackedRuns runs;
};

} // namespace

TEST_CASE_METHOD(LeaseLimitFixture, "a worker that runs nothing has no limit of its lease")
{
    CHECK_FALSE(limit.of(runs));
    runs.remove(runs.find(addWaiting(Home, 1)));
    CHECK_FALSE(limit.of(runs));
}

// Guards against two overlapping runs: a lease that is renewed while an order waits would outlast
// the limit of the run when it starts.
TEST_CASE_METHOD(LeaseLimitFixture, "a run that waits limits the lease as one that has started")
{
    addWaiting(Home, 1);
    CHECK(limit.of(runs) == now + Span);
    contacts.alive(now + 300ms, Home, now + 200ms);
    CHECK(limit.of(runs) == now + 200ms + Span);
}

// Guards against two overlapping runs: the order of a home that has died meanwhile arrives late.
TEST_CASE_METHOD(LeaseLimitFixture, "a run starts only under a lease that ends within its limit")
{
    const TrackedRun &run = runs.find(addWaiting(Home, 1))->second;
    CHECK(limit.allowsStart(run, TimePoint()));
    CHECK(limit.allowsStart(run, now + Span));
    CHECK_FALSE(limit.allowsStart(run, now + Span + 1us));
    contacts.alive(now + 300ms, Home, now + 1us);
    CHECK(limit.allowsStart(run, now + Span + 1us));
}

TEST_CASE_METHOD(LeaseLimitFixture, "a run of a home that was never in contact does not start")
{
    contacts.homeUp(Incarnation(7));
    const TrackedRun &run = runs.find(addWaiting(Incarnation(7), 1))->second;
    CHECK_FALSE(limit.allowsStart(run, TimePoint()));
}

// Guards against two overlapping runs: an agent that freezes again and again would renew the lease
// in between, and never read the stop of a home.
TEST_CASE_METHOD(LeaseLimitFixture, "the home that was silent for longest limits the lease")
{
    start(Home, 1);
    start(OtherHome, 2);
    contacts.alive(now + 300ms, Home, now + 300ms);
    CHECK(limit.of(runs) == now + Span);
    contacts.alive(now + 400ms, OtherHome, now + 400ms);
    CHECK(limit.of(runs) == now + 300ms + Span);
}

// Guards against two overlapping runs: stops that were lost with the link before are still to come.
TEST_CASE_METHOD(LeaseLimitFixture, "a new link alone does not move the limit on")
{
    start(Home, 1);
    contacts.homeUp(Home);
    CHECK(limit.of(runs) == now + Span);
}

TEST_CASE_METHOD(LeaseLimitFixture, "a home without runs does not limit the lease")
{
    start(Home, 1);
    contacts.alive(now + 5s, Home, now + 5s);
    CHECK(limit.of(runs) == now + 5s + Span);
}

// Guards against two overlapping runs: a worker that carries no stop out would keep the run.
TEST_CASE_METHOD(LeaseLimitFixture, "a released run limits the lease from its release on")
{
    start(Home, 1).releaseAt(now + 100ms);
    contacts.alive(now + 2s, Home, now + 2s);
    CHECK(limit.of(runs) == now + 100ms + Span);
}

// Guards against two overlapping runs: an agent that stands still reads an answer long after its
// home has died.
TEST_CASE_METHOD(LeaseLimitFixture,
                 "an answer that is read late moves the limit on by its question")
{
    start(Home, 1);
    contacts.alive(now + 700ms, Home, now + 100ms);
    CHECK(limit.of(runs) == now + 100ms + Span);
    // Answers on two links may overtake each other.
    contacts.alive(now + 800ms, Home, now + 50ms);
    CHECK(limit.of(runs) == now + 100ms + Span);
}

TEST_CASE_METHOD(LeaseLimitFixture, "contacts to a home that was given up change nothing")
{
    contacts.homeGone(Home);
    contacts.alive(now, Home, now);
    start(Home, 1);
    CHECK_FALSE(limit.of(runs));
}

TEST_CASE_METHOD(LeaseLimitFixture, "a home that was given up gives its runs no more time")
{
    start(Home, 1).releaseAt(*contacts.latest(Home));
    contacts.homeGone(Home);
    contacts.alive(now + 1s, Home, now + 1s);
    CHECK(limit.of(runs) == now + Span);
    contacts.homeUp(Home);
    contacts.alive(now + 5s, Home, now + 5s);
    CHECK(limit.of(runs) == now + Span);
}

TEST_CASE_METHOD(LeaseLimitFixture, "a home is in touch from its contact on, until that is too old")
{
    contacts.homeUp(Incarnation(7));
    CHECK_FALSE(contacts.inTouch(now, Incarnation(7)));
    CHECK(contacts.alive(now, Incarnation(7), now - InTouchFor / 2));
    CHECK_FALSE(contacts.alive(now, Incarnation(7), now - InTouchFor / 2));
    CHECK(contacts.nextExpiry() == now + InTouchFor / 2);
    CHECK(contacts.expire(now + InTouchFor / 2 - 1us).empty());
    CHECK(contacts.expire(now + InTouchFor / 2) == std::vector{Incarnation(7)});
    CHECK_FALSE(contacts.inTouch(now + InTouchFor / 2, Incarnation(7)));
    // An answer to an old question does not bring it back.
    CHECK_FALSE(contacts.alive(now + 2 * InTouchFor, Incarnation(7), now + InTouchFor));
    CHECK(contacts.alive(now + 2 * InTouchFor, Incarnation(7), now + 2 * InTouchFor - 1ms));
}
