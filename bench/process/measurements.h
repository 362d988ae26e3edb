// Measurements of real processes on loopback. Each throws std::runtime_error if the site does not
// do what the measurement needs.
#pragma once

#include "bench/process/measure.h"
#include "process/site.h"

#include <vector>

namespace Bluebellquay::Benchmark {

using Measures = std::vector<Measure>;

// Starts a site with the given numbers of processes and applies the rules of examples/ to it.
std::unique_ptr<Testing::Site> startSite(const Testing::SiteLayout &layout);

// Cost of idle agents in one site.
struct IdleCost
{
    unsigned agents = 0;
    // Mean and highest value over the agents. Bytes count both directions.
    double meanCpuShare = 0, maxCpuShare = 0;
    double meanRssMb = 0, maxRssMb = 0;
    double meanBytesPerSecond = 0, maxBytesPerSecond = 0;
};
IdleCost measureIdleCost(Testing::Site &site, bool quick);
// The bounded figures of the site of the target size, and the slopes over all sites.
Measures idleCostMeasures(const std::vector<IdleCost> &sites);

// Latency of single requests whose task takes 0 ms, sent one at a time.
Measures measureOverhead(const Testing::Site &site, bool quick);
// Time from the answer to a configuration change until every process reports the new version.
Measures measureConfigInForce(Testing::Site &site, bool quick);
// Time from the signal that tells an upstream to leave until its last task start. Terminates
// upstreams of the site.
Measures measureDrain(Testing::Site &site, bool quick);
// Requests that one entry handles for each second of processor time.
Measures measureEntryThroughput(bool quick);
// Memory of an agent for each record that it holds.
Measures measureRecordMemory(bool quick);

} // namespace Bluebellquay::Benchmark
