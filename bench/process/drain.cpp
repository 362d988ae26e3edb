#include "bench/process/measurements.h"
#include "bench/process/toolprocess.h"
#include "process/caller.h"

#include <nlohmann/json.hpp>

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <thread>

namespace Bluebellquay::Benchmark {

namespace {

namespace v1 = bluebellquay::v1;
using Clock = std::chrono::steady_clock;

constexpr double BoundSeconds = 2;
constexpr unsigned QuickDrains = 1;
constexpr unsigned FullDrains = 3;
// Starts are watched for twice the bound. An upstream runs on until its tasks are finished; one
// task that outlasts this time keeps it from refusing connections, which would hide late starts.
constexpr std::chrono::seconds WatchTime(4);
constexpr std::chrono::seconds LongTaskTime(6);
constexpr std::size_t LongTasks = 6;
constexpr std::chrono::milliseconds PollInterval(5);
constexpr std::chrono::seconds LoadBeforeLeave(1);
constexpr std::chrono::seconds CallTimeout(10);
constexpr std::chrono::seconds ToolLimit(60);
// Tasks of 20 to 60 ms keep about 45% of the 88 slots of 11 agents busy.
constexpr const char *LoadRate = "1000";
constexpr const char *LoadMinRunMs = "20";
constexpr const char *LoadMaxRunMs = "60";

std::unique_ptr<ToolProcess> startLoad(const Testing::Site &site)
{
    std::string entries;
    for (unsigned i = 0; i < site.layout().entries; ++i)
        entries += (i == 0 ? "" : ",") + site.callerAddress(i);
    const auto length = LoadBeforeLeave + WatchTime + std::chrono::seconds(1);
    return std::make_unique<ToolProcess>(
        "bluebellquay-load",
        std::vector<std::string>{"--entries", entries, "--rate", LoadRate, "--seconds",
                                 std::to_string(length.count()), "--count", "1000000",
                                 "--min-run-ms", LoadMinRunMs, "--max-run-ms", LoadMaxRunMs,
                                 "--long-share", "0", "--linger-s", "10"});
}

std::string submitLongJob(const Testing::Site &site)
{
    Testing::Caller caller({site.callerAddress(0)});
    v1::SubmitRequest request;
    request.set_id(caller.reserveId());
    request.set_attempt(1);
    request.set_detach(true);
    *request.mutable_job() =
        Testing::makeJob("hinokuni", "reindex", LongTasks, LongTaskTime, "long");
    const auto result = caller.call<v1::SubmissionResponse>(0, "Submit", request, CallTimeout);
    if (!std::holds_alternative<v1::SubmissionResponse>(result))
        throw std::runtime_error("the job of long tasks was not accepted");
    return request.id();
}

std::uint64_t starts(const Testing::Site &site, unsigned upstream)
{
    std::uint64_t sum = 0;
    for (const auto &[task, count] : site.startCounts(upstream))
        sum += count;
    return sum;
}

// Waits until an upstream runs a task of the submission and returns its index.
unsigned upstreamWith(const Testing::Site &site, const std::string &submission)
{
    std::optional<unsigned> found;
    site.waitFor("start of a long task", [&] {
        for (unsigned i = 0; i < site.layout().agents && !found; ++i) {
            const auto counts = site.startCounts(i);
            const auto first = counts.lower_bound(submission);
            if (first != counts.end() && first->first.starts_with(submission))
                found = i;
        }
        return found.has_value();
    });
    return *found;
}

struct LastStart
{
    // Time from the signal to the last task start, accurate to the poll interval; 0 if no task
    // starts after the signal.
    double seconds = 0;
    // Task starts during LoadBeforeLeave.
    std::uint64_t startsBefore = 0;
};

LastStart watchLastStart(Testing::Site &site, unsigned upstream)
{
    LastStart result;
    const std::uint64_t atLoadStart = starts(site, upstream);
    std::this_thread::sleep_for(LoadBeforeLeave);
    std::uint64_t seen = starts(site, upstream);
    result.startsBefore = seen - atLoadStart;
    // An idle upstream has no late starts either, so the measurement needs load before the signal.
    if (result.startsBefore == 0)
        throw std::runtime_error("the upstream got no work before it was told to leave");
    const Clock::time_point told = Clock::now();
    site.upstream(upstream).signal(SIGTERM);
    while (Clock::now() - told < WatchTime) {
        std::this_thread::sleep_for(PollInterval);
        const std::uint64_t now = starts(site, upstream);
        if (now != seen)
            result.seconds = std::chrono::duration<double>(Clock::now() - told).count();
        seen = now;
    }
    if (!site.upstream(upstream).running())
        throw std::runtime_error("the upstream ended before all late starts could be seen");
    return result;
}

} // namespace

Measures measureDrain(Testing::Site &site, bool quick)
{
    const unsigned drains = quick ? QuickDrains : FullDrains;
    double longest = 0;
    std::string outcomes;
    for (unsigned i = 0; i < drains; ++i) {
        const std::unique_ptr<ToolProcess> load = startLoad(site);
        const std::string job = submitLongJob(site);
        const unsigned upstream = upstreamWith(site, job);
        const LastStart last = watchLastStart(site, upstream);
        std::cout << "  upstream " << upstream << ": " << last.startsBefore
                  << " starts in the second before, last start " << last.seconds
                  << " s after it was told to leave" << std::endl;
        longest = std::max(longest, last.seconds);
        const auto summary = nlohmann::json::parse(load->finish(ToolLimit));
        outcomes += " " + summary.at("outcomes").dump();
    }
    std::cout << "  requests during the drains:" << outcomes << std::endl;
    return {{"drain_last_start_s", longest, "s", BoundSeconds, Direction::AtMost, std::nullopt,
             "longest of " + std::to_string(drains) + "; requests:" + outcomes}};
}

} // namespace Bluebellquay::Benchmark
