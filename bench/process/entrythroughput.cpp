#include "bench/process/measurements.h"
#include "bench/process/processusage.h"
#include "bench/process/toolprocess.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <sstream>

namespace Bluebellquay::Benchmark {

namespace {

using Clock = std::chrono::steady_clock;

constexpr double Bound = 20'000;
constexpr unsigned Agents = 4;
constexpr unsigned Slots = 64;
constexpr unsigned LoadProcesses = 3;
constexpr const char *CallersPerProcess = "48";
constexpr unsigned QuickSeconds = 3;
constexpr unsigned FullSeconds = 12;
constexpr std::chrono::seconds ToolGrace(60);

struct LoadResult
{
    double completed = 0;
    double entryCpuSeconds = 0;
    double agentsCpuSeconds = 0;
    // Text with the busiest process and its cores, the cores of the entry, and its requests per
    // second.
    std::string note;

    double requestsPerCoreSecond() const { return completed / entryCpuSeconds; }
};

std::unique_ptr<ToolProcess> startLoad(const std::string &entry, unsigned seed, unsigned seconds)
{
    return std::make_unique<ToolProcess>(
        "bluebellquay-load",
        std::vector<std::string>{"--entries", entry, "--closed", "--connections", CallersPerProcess,
                                 "--seconds", std::to_string(seconds), "--count", "10000000",
                                 "--seed", std::to_string(seed), "--min-run-ms", "0",
                                 "--max-run-ms", "0", "--long-share", "0", "--declared-error",
                                 "0"});
}

std::string describe(const std::map<std::string, double> &cpuSeconds, double elapsed,
                     double completed, const std::string &entry)
{
    const auto busiest =
        std::max_element(cpuSeconds.begin(), cpuSeconds.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    std::ostringstream text;
    text << "busiest process: " << busiest->first << " with " << busiest->second / elapsed
         << " cores; " << entry << " used " << cpuSeconds.at(entry) / elapsed << " cores for "
         << completed / elapsed << " requests/s";
    return text.str();
}

// Sends load to one address and measures the processor time of the given processes.
LoadResult runLoad(const std::string &address, const std::map<std::string, pid_t> &processes,
                   const std::string &entry, unsigned seconds)
{
    std::map<std::string, double> cpuSeconds;
    for (const auto &[name, process] : processes)
        cpuSeconds[name] = -ProcessUsage::of(process).cpuSeconds;
    const Clock::time_point start = Clock::now();
    std::vector<std::unique_ptr<ToolProcess>> loads;
    for (unsigned i = 0; i < LoadProcesses; ++i)
        loads.push_back(startLoad(address, i + 1, seconds));
    LoadResult result;
    std::vector<nlohmann::json> summaries;
    summaries.reserve(loads.size());
    for (const auto &load : loads)
        summaries.push_back(
            nlohmann::json::parse(load->finish(std::chrono::seconds(seconds) + ToolGrace)));
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    for (const auto &[name, process] : processes)
        cpuSeconds[name] += ProcessUsage::of(process).cpuSeconds;
    for (std::size_t i = 0; i < summaries.size(); ++i) {
        const nlohmann::json &outcomes = summaries[i].at("outcomes");
        result.completed += outcomes.value("completed", 0.0);
        cpuSeconds["load-" + std::to_string(i)] = summaries[i].at("processor_s").get<double>();
        if (outcomes.size() != 1)
            std::cout << "  load-" << i << " outcomes: " << outcomes.dump() << ' '
                      << summaries[i].at("reasons").dump() << std::endl;
    }
    result.entryCpuSeconds = cpuSeconds.at(entry);
    for (const auto &[name, used] : cpuSeconds)
        result.agentsCpuSeconds += name.starts_with("agent-") ? used : 0;
    result.note = describe(cpuSeconds, elapsed, result.completed, entry);
    std::cout << "  " << result.note << std::endl;
    return result;
}

// Measures the cost of HTTP alone, with a stand-in for the entry that answers each request itself.
LoadResult runBaseline(unsigned seconds)
{
    const ToolProcess standin("bluebellquay-dispatcher-standin", {});
    return runLoad("127.0.0.1:" + standin.printedPort(), {{"standin", standin.pid()}}, "standin",
                   seconds);
}

} // namespace

Measures measureEntryThroughput(bool quick)
{
    const unsigned seconds = quick ? QuickSeconds : FullSeconds;
    Testing::SiteLayout layout;
    layout.entries = 1;
    layout.agents = Agents;
    layout.slots = Slots;
    const std::unique_ptr<Testing::Site> site = startSite(layout);
    std::map<std::string, pid_t> processes{{"entry", site->entry(0).pid()}};
    for (unsigned i = 0; i < Agents; ++i) {
        processes["agent-" + std::to_string(i)] = site->agent(i).pid();
        processes["upstream-" + std::to_string(i)] = site->upstream(i).pid();
    }
    const LoadResult result = runLoad(site->callerAddress(0), processes, "entry", seconds);
    const LoadResult baseline = runBaseline(seconds);
    return {{"entry_requests_per_core_s", result.requestsPerCoreSecond(), "requests/s/core", Bound,
             Direction::AtLeast, baseline.requestsPerCoreSecond(),
             result.note + "; baseline: HTTP server that answers by itself"},
            {"agent_requests_per_core_s", result.completed / result.agentsCpuSeconds,
             "requests/s/core", std::nullopt, Direction::AtLeast, std::nullopt,
             "all agents together"}};
}

} // namespace Bluebellquay::Benchmark
