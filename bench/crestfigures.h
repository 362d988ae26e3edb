// Figures of the crest: 3 times the capacity for 5 seconds, a quarter of it urgent.
#pragma once

#include "arrivaltrace.h"
#include "figures.h"
#include "servedarrival.h"

#include <cstdint>
#include <ostream>
#include <vector>

namespace Bluebellquay {

// Useful is work whose answer is complete and in time. Share of the slots that did such work, by
// intervals of this length from the first arrival on.
std::vector<double> usefulShares(const ArrivalTrace &trace,
                                 const std::vector<ServedArrival> &served, TimePoint from,
                                 TimePoint to, Duration interval);

// Takes this many crests with consecutive seeds together, because one of them says little about
// late refusals: the percentiles are over all requests, the useful share is the mean, the recovery
// time the longest.
std::vector<Figure> crestFigures(std::uint64_t seed, std::size_t crests, std::ostream &log);

} // namespace Bluebellquay
