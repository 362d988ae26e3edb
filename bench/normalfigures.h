// Benchmark figures at a steady 80% load, and the share of wasted messages with and without faults.
#pragma once

#include "arrivaltrace.h"
#include "figures.h"
#include "servedarrival.h"

#include <cstdint>
#include <ostream>
#include <vector>

namespace Bluebellquay {

// Slowdown of each completed single request: response time divided by the sum of its run time and
// the shortest round trips.
std::vector<double> requestSlowdowns(const ArrivalTrace &trace,
                                     const std::vector<ServedArrival> &served);
// Response time of each completed job divided by its response time in the reference schedule.
std::vector<double> makespanRatios(const ArrivalTrace &trace,
                                   const std::vector<ServedArrival> &served,
                                   const std::vector<ServedArrival> &reference);

// Message counts and outcomes are written to the log.
std::vector<Figure> normalFigures(std::uint64_t seed, Duration length, std::ostream &log);
Figure wastedMessagesWithFaults(std::uint64_t seed, Duration length, std::ostream &log);

} // namespace Bluebellquay
