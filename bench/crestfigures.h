// Benchmark figures for a short overload: requests arrive at 3 times the capacity for 5 seconds,
// and a quarter of them are urgent.
#pragma once

#include "arrivaltrace.h"
#include "figures.h"
#include "servedarrival.h"

#include <cstdint>
#include <ostream>
#include <vector>

namespace Bluebellquay {

// Share of the slots that do useful work, for each interval of the given length between `from` and
// `to`. Work is useful if it completes and the caller has the answer by the deadline plus the
// shortest round trips.
std::vector<double> usefulShares(const ArrivalTrace &trace,
                                 const std::vector<ServedArrival> &served, TimePoint from,
                                 TimePoint to, Duration interval);

// Measures this many overload runs with consecutive seeds, because a single run has too few late
// refusals. Percentiles cover the requests of all runs, the useful share is the mean of the runs,
// and the recovery time is the longest one.
std::vector<Figure> overloadFigures(std::uint64_t seed, std::size_t overloadRuns,
                                    std::ostream &log);

} // namespace Bluebellquay
