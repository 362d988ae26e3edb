// Tests RunTracker: what homes order and are told, when they fall silent and come back, and when
// two of them hold the same job.
#include "dispatch/trackerfixture.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

TEST_CASE_METHOD(TrackerFixture, "runs of a silent home are stopped, its waiting orders dropped")
{
    order(0, 40'000);
    order(1, 40'000);
    tracker.startAnswered(now, key(0), StartAnswer::Accepted, out);
    clear();
    tracker.homeSilent(now, Home, out);
    REQUIRE(out.stops.size() == 1);
    CHECK(out.stops[0].run == key(0));
    CHECK(tracker.runs() == 1);
}

TEST_CASE_METHOD(TrackerFixture, "ends are repeated to a home that comes back")
{
    order(0, 40'000);
    tracker.startAnswered(now, key(0), StartAnswer::Accepted, out);
    list({}, {{key(0), RunResult::Done}});
    clear();
    tracker.handle(now, Home, RunsAtAgent{{key(0), key(1)}}, out);
    REQUIRE(ends().size() == 2);
    CHECK(ends()[0].end == RunResult::Done);
    // An order that was lost with the link was surely not started.
    CHECK(ends()[1].end == RunResult::NotStarted);
}

TEST_CASE_METHOD(TrackerFixture,
                 "a retired home keeps what runs and gets no more until it is restored")
{
    order(0, 40'000);
    tracker.startAnswered(now, key(0), StartAnswer::Accepted, out);
    clear();
    tracker.retireHome(now, Home, true, out);
    REQUIRE(out.messages.size() == 1);
    CHECK_FALSE(std::get<WorkerRoom>(out.messages.front().second).accepting);
    CHECK(out.stops.empty());
    CHECK(tracker.holdsRunsOf(Home));
    clear();
    // It was on its way when the home was told.
    order(1, 10'000, 1, true);
    CHECK(out.starts.empty());
    REQUIRE(ends().size() == 1);
    CHECK(ends().front().end == RunResult::NotStarted);
    clear();
    list({}, {{key(0), RunResult::Done}});
    CHECK_FALSE(tracker.holdsRunsOf(Home));
    clear();
    tracker.retireHome(now, Home, false, out);
    order(2, 10'000);
    CHECK(out.starts.size() == 1);
}

// Guards against two overlapping runs of a task: a home that has given the agent up counts its runs
// as over, but they go on if the machine was suspended meanwhile, worker and all.
TEST_CASE_METHOD(TrackerFixture, "what a home that comes back does not count any more is stopped")
{
    order(0, 20'000);
    order(1, 20'000);
    order(2, 40'000);
    for (const std::uint32_t index : {0U, 1U})
        tracker.startAnswered(now, key(index), StartAnswer::Accepted, out);
    clear();
    tracker.handle(now, OtherHome, RunsAtAgent{}, out);
    CHECK(out.stops.empty());
    tracker.handle(now, Home, RunsAtAgent{{key(1)}}, out);
    REQUIRE(out.stops.size() == 1);
    CHECK(out.stops[0].run == key(0));
    REQUIRE(ends().size() == 1);
    CHECK(ends()[0].run == key(2));
    CHECK(ends()[0].end == RunResult::NotStarted);
}

// Guards against a job that waits for ever, and against one that is told the end of a run that its
// home did not order: two homes that hold a job may choose the same number for a run.
TEST_CASE_METHOD(TrackerFixture, "an order under the number of another home's run is returned")
{
    const bool over = GENERATE(false, true);
    homeUp(OtherHome);
    run(0, 20'000);
    if (over)
        list({}, {{key(0), RunResult::Done}});
    clear();
    order(0, 20'000, 1, true, OtherHome);
    CHECK(out.starts.empty());
    CHECK(onlyEnd(OtherHome).end == RunResult::NotStarted);
    clear();
    tracker.handle(now, OtherHome, RunsAtAgent{{key(0)}}, out);
    CHECK(onlyEnd(OtherHome).end == RunResult::NotStarted);
    tracker.handle(now, OtherHome, StopRuns{{key(0)}}, out);
    CHECK(out.stops.empty());
    clear();
    if (!over)
        list({}, {{key(0), RunResult::Done}});
    else
        tracker.handle(now, Home, RunsAtAgent{{key(0)}}, out);
    CHECK(ends(OtherHome).empty());
    CHECK(onlyEnd().end == RunResult::Done);
}

// Guards against two overlapping runs of a task on one worker: two homes may hold its job for a
// moment.
TEST_CASE_METHOD(TrackerFixture, "a task is not started while another run of it is on the worker")
{
    homeUp(OtherHome);
    run(0, 20'000);
    clear();
    order(0, 20'000, 2, false, OtherHome);
    CHECK(out.starts.empty());
    CHECK(ends(OtherHome).empty());
    SECTION("it starts when the other one is over")
    {
        list({}, {{key(0), RunResult::Stopped}});
        REQUIRE(out.starts.size() == 1);
        CHECK(out.starts[0].run == key(0, 2));
    }
    SECTION("it is returned if the other one goes on")
    {
        pass(250ms);
        tracker.advance(now, out);
        CHECK(out.starts.empty());
        CHECK(onlyEnd(OtherHome).end == RunResult::NotStarted);
    }
}

// Guards against runs that nobody stops: a home that was given up, since its next incarnation has
// come up, may have left orders in its connection.
TEST_CASE_METHOD(TrackerFixture, "orders of a home that was given up are not carried out")
{
    tracker.homeSilent(now, Home, out);
    tracker.handle(now, Home, RunsAtAgent{}, out);
    order(0, 20'000);
    CHECK(out.starts.empty());
    CHECK(tracker.runs() == 0);
    CHECK(onlyEnd().end == RunResult::NotStarted);
    homeUp(Home);
    order(0, 20'000);
    CHECK(out.starts.size() == 1);
}

// Guards against two overlapping runs: neither silence of a home nor a stop that is not carried out
// lets a lease outlast the resubmission of a job.
TEST_CASE_METHOD(TrackerFixture, "contacts to homes, and their stops, limit the lease")
{
    const Duration span = RunTrackerSettings().runsOverAfter;
    CHECK_FALSE(tracker.leaseLimit());
    run(0, 40'000);
    passInSilence(500ms);
    // Read late.
    tracker.homeAlive(now, Home, now - 200ms, out);
    const TimePoint contact = now - 200ms;
    CHECK(tracker.leaseLimit() == contact + span);
    passInSilence(100ms);
    // The home may have sent it at any time after the contact.
    tracker.handle(now, Home, StopRuns{{key(0)}}, out);
    passInSilence(600ms);
    tracker.homeAlive(now, Home, now, out);
    CHECK(tracker.leaseLimit() == contact + span);
    list({}, {{key(0), RunResult::Stopped}});
    CHECK_FALSE(tracker.leaseLimit());
}

// Guards against two overlapping runs: the network has held an order back until after the death of
// its home, and the worker has a lease that nobody limited for it.
TEST_CASE_METHOD(TrackerFixture, "an order waits for a contact that the worker's lease asks for")
{
    const Duration span = RunTrackerSettings().runsOverAfter;
    const TimePoint contact = now;
    passInSilence(500ms);
    tracker.setLeaseEnd(contact + span + 1us);
    const bool mayWait = GENERATE(true, false);
    order(0, 20'000, 1, mayWait);
    CHECK(out.starts.empty());
    CHECK(ends().empty());
    // What is renewed meanwhile doesn't put the start off further.
    CHECK(tracker.leaseLimit() == contact + span);
    CHECK(tracker.statistics().ordersAwaitingContact == 1);
    SECTION("the home lives")
    {
        tracker.homeAlive(now, Home, contact + 1us, out);
        CHECK(out.starts.size() == 1);
        CHECK(tracker.leaseLimit() == contact + 1us + span);
    }
    SECTION("the home is given up")
    {
        tracker.homeSilent(now, Home, out);
        CHECK(onlyEnd().end == RunResult::NotStarted);
    }
    SECTION("no contact comes")
    {
        passInSilence(RunTrackerSettings().longestWait);
        tracker.advance(now, out);
        CHECK(out.starts.empty());
        CHECK(onlyEnd().end == RunResult::NotStarted);
        CHECK_FALSE(tracker.leaseLimit());
    }
}

// Its home knows a worker with room at once; a contact would not help.
TEST_CASE_METHOD(TrackerFixture, "an order without room does not wait for a contact")
{
    run(0, 50'000);
    clear();
    tracker.setLeaseEnd(now + RunTrackerSettings().runsOverAfter + 1us);
    order(1, 20'000, 1, false);
    CHECK(onlyEnd().end == RunResult::NotStarted);
    CHECK(tracker.statistics().ordersAwaitingContact == 0);
}

// Guards against runs of one home that cost those of all others their lease, and against orders
// that are carried out for a home that died while they lay unread.
TEST_CASE_METHOD(TrackerFixture, "a home without contact has its runs stopped and gets no others")
{
    const Duration inTouch = RunTrackerSettings().homeInTouchFor;
    homeUp(OtherHome);
    run(0, 20'000);
    order(1, 20'000, 1, true, OtherHome);
    tracker.startAnswered(now, key(1), StartAnswer::Accepted, out);
    const TimePoint contact = now;
    passInSilence(inTouch - 1ms);
    tracker.homeAlive(now, OtherHome, now, out);
    tracker.advance(now, out);
    clear();
    CHECK(tracker.nextWakeup() == contact + inTouch);
    passInSilence(1ms);
    SECTION("at the time")
    {
        tracker.advance(now, out);
    }
    // After a pause the sockets may be read before timers.
    SECTION("with an order that was unread")
    {
        order(2, 10'000);
        CHECK(out.starts.empty());
        CHECK(onlyEnd().end == RunResult::NotStarted);
    }
    REQUIRE(out.stops.size() == 1);
    CHECK(out.stops[0].run == key(0));
    CHECK_FALSE(lastRoom()->accepting);
    CHECK(tracker.leaseLimit() == contact + RunTrackerSettings().runsOverAfter);
    clear();
    list({key(1)}, {{key(0), RunResult::Stopped}});
    CHECK(onlyEnd().end == RunResult::Stopped);
    clear();
    tracker.homeAlive(now, Home, now - 10ms, out);
    REQUIRE(lastRoom() != nullptr);
    CHECK(lastRoom()->accepting);
    order(3, 10'000);
    CHECK(out.starts.size() == 1);
}

TEST_CASE_METHOD(TrackerFixture, "a home gets no work before its first sign of life")
{
    tracker.homeUp(now, OtherHome);
    order(0, 20'000, 1, true, OtherHome);
    CHECK(out.starts.empty());
    CHECK(onlyEnd(OtherHome).end == RunResult::NotStarted);
    tracker.homeAlive(now, OtherHome, now - 1ms, out);
    order(1, 20'000, 1, true, OtherHome);
    CHECK(out.starts.size() == 1);
}
