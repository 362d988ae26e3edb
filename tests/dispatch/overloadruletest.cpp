// Guards against refusing jobs that a short burst only delays, against keeping jobs that can't be
// served in time, and against refused callers that all retry at once.
#include "core/overloadrule.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

// Ten processors with one second of work waiting, half of them needed for arriving work.
ServiceLoad overload()
{
    ServiceLoad load;
    load.milliProcessors = 10'000;
    load.arrivingWork = 5'000;
    load.waitingWork = 10'000.0 * static_cast<double>(Duration(1s).count());
    load.backlogAge = 1s;
    return load;
}

} // namespace

TEST_CASE("the wait is that of the waiting work beside what keeps arriving")
{
    CHECK(OverloadRule().expectedWait(overload()) == Duration(2s));
}

// Guards against refusing jobs behind 36 tasks while workers had room, because for a moment as much
// work arrived as the workers can do (seen with deploy/days/workers-born-again.toml).
TEST_CASE("a short queue is not hopeless while as much arrives as the workers do")
{
    ServiceLoad load = overload();
    load.waitingWork /= 10;
    load.arrivingWork = load.milliProcessors;
    CHECK_FALSE(OverloadRule().wouldFinishTooLate(load, 100ms, 600ms));
    load.waitingWork *= 10;
    CHECK(OverloadRule().wouldFinishTooLate(load, 100ms, 600ms));
}

// After a complete power loss an entry is up before the first agent is linked again.
TEST_CASE("without any worker no job is hopeless, and callers are asked to come back soon")
{
    ServiceLoad load = overload();
    load.milliProcessors = 0;
    CHECK_FALSE(OverloadRule().wouldFinishTooLate(load, 100ms, 600ms));
    CHECK(OverloadRule().retryAfter(load, JobKey(0)) == OverloadRule::MinRetryAfter);
}

TEST_CASE("a job that would come too late is hopeless in a standing queue, not in a burst")
{
    ServiceLoad load = overload();
    CHECK(OverloadRule().wouldFinishTooLate(load, 100ms, 2'050ms));
    CHECK_FALSE(OverloadRule().wouldFinishTooLate(load, 100ms, 2'150ms));
    load.backlogAge = OverloadRule::OverloadBacklogAge - 1ms;
    CHECK_FALSE(OverloadRule().wouldFinishTooLate(load, 100ms, 2'050ms));
}

TEST_CASE("callers refused together are told different times to come back")
{
    const OverloadRule rule;
    std::set<Duration> times;
    for (std::uint64_t key = 0; key < 100; ++key) {
        const Duration after = rule.retryAfter(overload(), JobKey(key));
        CHECK(after >= 2s);
        CHECK(after <= 3s);
        times.insert(after);
    }
    CHECK(times.size() > 50);
}

TEST_CASE("the time to come back is bounded")
{
    ServiceLoad load = overload();
    load.waitingWork *= 100;
    CHECK(OverloadRule().retryAfter(load, JobKey(0)) == OverloadRule::MaxRetryAfter);
    load = ServiceLoad();
    load.milliProcessors = 1;
    CHECK(OverloadRule().retryAfter(load, JobKey(0)) == OverloadRule::MinRetryAfter);
}
