// Figures of the normal run at 80% load, and its messages with and without faults.
#pragma once

#include "arrivaltrace.h"
#include "figures.h"
#include "servedarrival.h"

#include <cstdint>
#include <ostream>
#include <vector>

namespace Bluebellquay {

// Response time relative to the own run time and the shortest round trips, of completed single
// requests.
std::vector<double> requestSlowdowns(const ArrivalTrace &trace,
                                     const std::vector<ServedArrival> &served);
// Response time of completed jobs relative to the reference.
std::vector<double> makespanRatios(const ArrivalTrace &trace,
                                   const std::vector<ServedArrival> &served,
                                   const std::vector<ServedArrival> &reference);

// Details that are no figures go to the log.
std::vector<Figure> normalFigures(std::uint64_t seed, Duration length, std::ostream &log);
Figure faultyMessages(std::uint64_t seed, Duration length, std::ostream &log);

} // namespace Bluebellquay
