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
    tracker.homeUp(now, OtherHome);
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
    tracker.homeUp(now, OtherHome);
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
    tracker.homeUp(now, Home);
    order(0, 20'000);
    CHECK(out.starts.size() == 1);
}

// Guards against two overlapping runs: neither silence of a home nor a stop that is not carried out
// lets a lease outlast the resubmission of a job.
TEST_CASE_METHOD(TrackerFixture, "what homes were heard of last, and their stops, limit the lease")
{
    const Duration span = RunTrackerSettings().runsOverAfter;
    CHECK_FALSE(tracker.leaseLimit());
    run(0, 40'000);
    pass(500ms);
    tracker.homeHeard(now, Home);
    CHECK(tracker.leaseLimit() == now + span);
    const TimePoint stopped = now + 100ms;
    pass(100ms);
    tracker.handle(now, Home, StopRuns{{key(0)}}, out);
    pass(600ms);
    tracker.homeHeard(now, Home);
    CHECK(tracker.leaseLimit() == stopped + span);
    list({}, {{key(0), RunResult::Stopped}});
    CHECK_FALSE(tracker.leaseLimit());
}
