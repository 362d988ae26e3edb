// Random schedules of submissions and faults on a whole site. Guards the guarantees that must hold
// whatever fails: tasks start once, answers are whole, stable and the caller's own, "not run" is
// true, and memory drains. BLUEBELLQUAY_FIRST_SEED and BLUEBELLQUAY_SEEDS choose the seeds.
#include "core/schedulerun.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace Bluebellquay;

namespace {

std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("Random schedules of faults keep all guarantees", "[core][schedule]")
{
    const std::uint64_t first = fromEnvironment("BLUEBELLQUAY_FIRST_SEED", 1);
    const std::uint64_t count = fromEnvironment("BLUEBELLQUAY_SEEDS", 2'000);
    std::cout << "seeds " << first << " to " << first + count - 1 << std::endl;
    ScheduleTotals totals;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const std::vector<std::string> violations = ScheduleRun(seed).run(totals);
        INFO("seed " << seed);
        for (const std::string &violation : violations)
            FAIL_CHECK(violation);
    }
    std::cout << totals.toString() << std::endl;
    // Schedules in which hardly anything completes would show nothing.
    CHECK(totals.completed * 2 > totals.submissions);
    CHECK(totals.notRun > 0);
    CHECK(totals.failed > 0);
}

TEST_CASE("Schedules that found faults before stay without violations", "[core][schedule]")
{
    // With seed 56, the core kept asking for wakeups in the past. With seed 542, an agent kept the
    // result of a task forever whose home was given up while the task ran.
    ScheduleTotals totals;
    for (const std::uint64_t seed : {56, 542}) {
        INFO("seed " << seed);
        CHECK(ScheduleRun(seed).run(totals).empty());
    }
}
