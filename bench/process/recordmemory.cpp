#include "bench/process/linearfit.h"
#include "bench/process/measurements.h"
#include "bench/process/processusage.h"
#include "bench/process/toolprocess.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <stdexcept>

namespace Bluebellquay::Benchmark {

namespace {

constexpr unsigned Slots = 64;
// Total number of records held at each measured point.
const std::vector<unsigned> QuickSizes{2'000, 6'000, 12'000};
const std::vector<unsigned> FullSizes{20'000, 60'000, 120'000};
constexpr std::chrono::seconds ToolLimit(300);
// Keeps all records until the end of the measurement.
constexpr const char *LongIssuePeriod = "issue_period_ms = 600000\n";

void complete(const Testing::Site &site, unsigned submissions, unsigned seed)
{
    ToolProcess load("bluebellquay-load",
                     {"--entries", site.callerAddress(0), "--closed", "--connections", "32",
                      "--seconds", "240", "--count", std::to_string(submissions), "--seed",
                      std::to_string(seed), "--min-run-ms", "0", "--max-run-ms", "0",
                      "--long-share", "0", "--declared-error", "0"});
    const auto summary = nlohmann::json::parse(load.finish(ToolLimit));
    if (summary.at("outcomes").value("completed", 0U) != submissions)
        throw std::runtime_error("not all submissions were completed: "
                                 + summary.at("outcomes").dump());
}

} // namespace

Measures measureRecordMemory(bool quick)
{
    Testing::SiteLayout layout;
    layout.entries = 1;
    layout.agents = 1;
    layout.slots = Slots;
    layout.agentExtra = LongIssuePeriod;
    const std::unique_ptr<Testing::Site> site = startSite(layout);
    std::vector<std::pair<double, double>> points;
    unsigned held = 0;
    for (const unsigned size : quick ? QuickSizes : FullSizes) {
        complete(*site, size - held, size);
        held = size;
        points.emplace_back(held, ProcessUsage::of(site->agent(0).pid()).residentBytes);
        std::cout << "  " << held << " records: " << points.back().second / 1e6 << " MB"
                  << std::endl;
    }
    const LinearFit fit = LinearFit::through(points);
    std::cout << "  agent_bytes_per_record: " << fit.toString() << std::endl;
    return {{"agent_bytes_per_record", fit.slope, "B/record", std::nullopt, Direction::AtMost,
             std::nullopt, "single requests; " + fit.toString()}};
}

} // namespace Bluebellquay::Benchmark
