// Guards against runs that can't be repeated from their seed, and against a workload that is not
// the one asked for.
#include "standins/workload.h"
#include "standins/taskprogram.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace Bluebellquay;

namespace {

WorkloadOptions mixedOptions(std::uint64_t seed)
{
    WorkloadOptions options;
    options.seed = seed;
    options.kinds = {{"hinokuni", "search", 3}, {"maras", "close_pan", 1}};
    options.jobShare = 0.2;
    return options;
}

std::string textOf(Workload &workload, int count)
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += workload.next().job.SerializeAsString();
    return text;
}

} // namespace

TEST_CASE("A seed gives the same submissions whatever the rate", "[standins]")
{
    Workload first(mixedOptions(7));
    Workload second(mixedOptions(7));
    second.nextGap(1000);
    CHECK(textOf(first, 50) == textOf(second, 50));
    Workload other(mixedOptions(8));
    Workload again(mixedOptions(7));
    CHECK(textOf(other, 50) != textOf(again, 50));
}

TEST_CASE("Submissions are within the options", "[standins]")
{
    constexpr int Count = 2000;
    Workload workload(mixedOptions(1));
    int jobs = 0;
    int maras = 0;
    for (int i = 0; i < Count; ++i) {
        const PlannedSubmission planned = workload.next();
        const int tasks = planned.job.tasks_size();
        CHECK((tasks == 1 || (tasks >= 10 && tasks <= 700)));
        jobs += tasks > 1 ? 1 : 0;
        maras += planned.job.branch() == "maras" ? 1 : 0;
        CHECK(planned.longestRun >= std::chrono::milliseconds(50));
        CHECK(planned.longestRun <= std::chrono::seconds(20));
        CHECK(planned.work >= planned.longestRun);
        CHECK(TaskProgram::parse(planned.job.tasks(0).payload()));
        CHECK(planned.job.has_exceptions());
    }
    // Four standard deviations of the binomial distribution.
    CHECK(std::abs(jobs - Count * 0.2) < 4 * std::sqrt(Count * 0.2 * 0.8));
    CHECK(std::abs(maras - Count * 0.25) < 4 * std::sqrt(Count * 0.25 * 0.75));
}

TEST_CASE("Arrivals have the rate", "[standins]")
{
    constexpr int Count = 10'000;
    Workload workload(mixedOptions(1));
    Duration sum{0};
    for (int i = 0; i < Count; ++i)
        sum += workload.nextGap(500);
    // Four standard deviations of the mean of an exponential distribution.
    CHECK(std::abs(std::chrono::duration<double>(sum).count() - Count / 500.0)
          < 4 * std::sqrt(Count) / 500.0);
}
