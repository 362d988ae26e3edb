// Guards against reports of free room that cost a home more with each further home and run, and
// against homes that never hear of a change.
#include "core/capacityreporter.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

WorkerRoom roomWith(std::uint32_t freeMilliProcessors)
{
    WorkerRoom room;
    room.accepting = true;
    room.settled = true;
    room.free.milliProcessors = freeMilliProcessors;
    return room;
}

// Reports that were sent to this home.
std::vector<WorkerRoom> reportsTo(Incarnation home, const CapacityReporter::Messages &messages)
{
    std::vector<WorkerRoom> found;
    for (const auto &[to, message] : messages) {
        if (to == home)
            found.push_back(std::get<WorkerRoom>(message));
    }
    return found;
}

class ReportsFixture
{
public:
    static constexpr std::uint64_t Homes = 13;

    ReportsFixture()
    {
        for (std::uint64_t home = 1; home <= Homes; ++home) {
            reports.homeUp(Incarnation(home));
            reports.tell(now, Incarnation(home), roomWith(1), sent);
        }
    }

    CapacityReporter reports;
    CapacityReporter::Messages sent;
    TimePoint now{10s};
};

} // namespace

TEST_CASE_METHOD(ReportsFixture, "reports of one agent have a bounded rate however many homes")
{
    sent.clear();
    for (std::uint32_t change = 0; change < 1'000; ++change) {
        now += 1ms;
        reports.changed(now, roomWith(change), {}, sent);
        reports.tellDue(now, roomWith(change), sent);
    }
    // One for each home and interval, and one more for each home at the edges of the second.
    constexpr std::size_t MostPerSecond = 1s / CapacityReporter::IntervalPerHome + Homes;
    CHECK(sent.size() <= MostPerSecond);
}

TEST_CASE_METHOD(ReportsFixture, "a change that was held back is told when the interval has passed")
{
    sent.clear();
    reports.changed(now + 1ms, roomWith(7), {}, sent);
    CHECK(sent.empty());
    REQUIRE(reports.nextDue());
    reports.tellDue(*reports.nextDue(), roomWith(7), sent);
    REQUIRE(reportsTo(Incarnation(4), sent).size() == 1);
    CHECK(reportsTo(Incarnation(4), sent).front().free.milliProcessors == 7);
    CHECK_FALSE(reports.nextDue());
}

TEST_CASE_METHOD(ReportsFixture, "a home whose run has ended hears of the room at once")
{
    sent.clear();
    reports.changed(now + 1ms, roomWith(7), {Incarnation(3)}, sent);
    CHECK(sent.size() == 1);
    CHECK(reportsTo(Incarnation(3), sent).size() == 1);
}

TEST_CASE_METHOD(ReportsFixture, "every home hears at once that no order is taken any more")
{
    sent.clear();
    WorkerRoom draining = roomWith(1);
    draining.accepting = false;
    reports.changed(now + 1ms, draining, {}, sent);
    CHECK(sent.size() == Homes);
}

TEST_CASE_METHOD(ReportsFixture, "an order is acknowledged though the room is as before")
{
    sent.clear();
    reports.orderReceived(Incarnation(2), OrderNumber(9));
    reports.changed(now + 1ms, roomWith(1), {}, sent);
    REQUIRE(reports.nextDue());
    reports.tellDue(*reports.nextDue(), roomWith(1), sent);
    REQUIRE(reportsTo(Incarnation(2), sent).size() == 1);
    CHECK(reportsTo(Incarnation(2), sent).front().lastOrder == OrderNumber(9));
}

TEST_CASE_METHOD(ReportsFixture, "a room that is as before is not told again")
{
    reports.changed(now + 1s, roomWith(1), {}, sent);
    sent.clear();
    reports.changed(now + 2s, roomWith(1), {}, sent);
    CHECK(sent.empty());
    CHECK_FALSE(reports.nextDue());
}
