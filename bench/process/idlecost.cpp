#include "bench/process/linearfit.h"
#include "bench/process/measurements.h"
#include "bench/process/processusage.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace Bluebellquay::Benchmark {

namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// Number of agents that the bounds are for (11 workers in each branch).
constexpr unsigned TargetAgents = 11;
constexpr double CpuShareBound = 0.036;
constexpr double RssBoundMb = 128;
constexpr double BytesBound = 13'000;
constexpr double Megabyte = 1e6;
constexpr std::chrono::seconds SettleTime(2);
constexpr std::chrono::seconds QuickWindow(3);
constexpr std::chrono::seconds FullWindow(20);
// Bytes for each frame that the counters of the agent leave out: headers of the WebSocket frame and
// of the batch (16 bytes), TCP/IP header of the segment and a separate TCP acknowledgement (52
// bytes each).
constexpr double FrameOverheadBytes = 120;

struct Sample
{
    Clock::time_point time;
    double bytes = 0;
    double cpuSeconds = 0;
};

double controlBytes(const Testing::Site &site, unsigned agent)
{
    const std::string address = site.agentAdminAddress(agent);
    const auto counter = [&](const std::string &name) {
        return site.metric(address, "bluebellquay_peer_" + name + "_total");
    };
    return counter("bytes_sent") + counter("bytes_received")
        + FrameOverheadBytes * (counter("frames_sent") + counter("frames_received"));
}

Measure slopeMeasure(const std::string &name, const std::string &unit,
                     const std::vector<IdleCost> &sites, double IdleCost::*value)
{
    std::vector<std::pair<double, double>> points;
    points.reserve(sites.size());
    for (const IdleCost &site : sites)
        points.emplace_back(site.agents, site.*value);
    const LinearFit fit = LinearFit::through(points);
    std::cout << "  " << name << ": " << fit.toString() << std::endl;
    Measure measure;
    measure.name = name;
    measure.value = fit.slope;
    measure.unit = unit;
    measure.note = fit.toString();
    return measure;
}

} // namespace

IdleCost measureIdleCost(Testing::Site &site, bool quick)
{
    const unsigned agents = site.layout().agents;
    std::this_thread::sleep_for(SettleTime);
    // The counters are read before and after the processor time, since reading them costs some.
    std::vector<Sample> begin(agents);
    for (unsigned i = 0; i < agents; ++i)
        begin[i] = {Clock::now(), controlBytes(site, i), 0};
    for (unsigned i = 0; i < agents; ++i)
        begin[i].cpuSeconds = ProcessUsage::of(site.agent(i).pid()).cpuSeconds;
    const Clock::time_point start = Clock::now();
    std::this_thread::sleep_for(quick ? QuickWindow : FullWindow);
    const double elapsed = Seconds(Clock::now() - start).count();

    std::vector<ProcessUsage> end;
    for (unsigned i = 0; i < agents; ++i)
        end.push_back(ProcessUsage::of(site.agent(i).pid()));
    IdleCost cost;
    cost.agents = agents;
    for (unsigned i = 0; i < agents; ++i) {
        const double share = (end[i].cpuSeconds - begin[i].cpuSeconds) / elapsed;
        const double rss = end[i].residentBytes / Megabyte;
        const double rate = (controlBytes(site, i) - begin[i].bytes)
            / Seconds(Clock::now() - begin[i].time).count();
        cost.meanCpuShare += share / agents;
        cost.maxCpuShare = std::max(cost.maxCpuShare, share);
        cost.meanRssMb += rss / agents;
        cost.maxRssMb = std::max(cost.maxRssMb, rss);
        cost.meanBytesPerSecond += rate / agents;
        cost.maxBytesPerSecond = std::max(cost.maxBytesPerSecond, rate);
    }
    std::cout << "  " << agents << " idle agents: cpu share mean " << cost.meanCpuShare << " max "
              << cost.maxCpuShare << ", rss mean " << cost.meanRssMb << " MB max " << cost.maxRssMb
              << " MB, control mean " << cost.meanBytesPerSecond << " B/s max "
              << cost.maxBytesPerSecond << " B/s" << std::endl;
    return cost;
}

Measures idleCostMeasures(const std::vector<IdleCost> &sites)
{
    const auto target = std::find_if(sites.begin(), sites.end(), [](const IdleCost &cost) {
        return cost.agents == TargetAgents;
    });
    Measures measures;
    if (target != sites.end()) {
        const std::string note = "highest of 11 idle agents";
        measures.push_back({"agent_idle_cpu_share", target->maxCpuShare, "cores", CpuShareBound,
                            Direction::AtMost, std::nullopt, note});
        measures.push_back({"agent_rss_mb", target->maxRssMb, "MB", RssBoundMb, Direction::AtMost,
                            std::nullopt, note});
        measures.push_back({"agent_control_bytes_s", target->maxBytesPerSecond, "B/s", BytesBound,
                            Direction::AtMost, std::nullopt,
                            note + ", both directions, with 120 bytes for heads of each frame"});
    }
    if (sites.size() < 2)
        return measures;
    measures.push_back(slopeMeasure("agent_idle_cpu_share_per_agent", "cores/agent", sites,
                                    &IdleCost::meanCpuShare));
    measures.push_back(
        slopeMeasure("agent_rss_mb_per_agent", "MB/agent", sites, &IdleCost::meanRssMb));
    measures.push_back(slopeMeasure("agent_control_bytes_s_per_agent", "B/s/agent", sites,
                                    &IdleCost::meanBytesPerSecond));
    return measures;
}

} // namespace Bluebellquay::Benchmark
