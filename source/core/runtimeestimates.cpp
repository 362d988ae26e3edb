#include "core/runtimeestimates.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// Bins grow by about 12% each.
constexpr unsigned Bins = 120;
constexpr double ShortestSeconds = 100e-6;
constexpr double LongestSeconds = 100;
constexpr double MinimumCount = 5;
// Above this many observations all counts are halved, so that a changed run time is learned.
constexpr double DecayCount = 512;
// Kinds beyond this number use the fallback; kinds come from the rules, so this is never reached by
// valid submissions.
constexpr std::size_t MaxKinds = 4096;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RunTimeEstimates::Entry::Entry()
    : histogram(boost::histogram::make_histogram(LogAxis(Bins, ShortestSeconds, LongestSeconds)))
{ }

void RunTimeEstimates::record(std::string_view branch, std::string_view kind, Duration runTime)
{
    if (m_entries.size() >= MaxKinds)
        return;
    Entry &entry = m_entries[std::pair<std::string, std::string>(branch, kind)];
    entry.histogram(std::clamp(seconds(runTime), ShortestSeconds, LongestSeconds * 0.999));
    entry.count += 1;
    if (entry.count >= DecayCount) {
        entry.histogram *= 0.5;
        entry.count *= 0.5;
    }
    if (entry.count >= MinimumCount)
        entry.median = medianOf(entry);
}

Duration RunTimeEstimates::medianOf(const Entry &entry)
{
    double below = 0;
    for (int i = 0; i < static_cast<int>(Bins); ++i) {
        below += static_cast<double>(entry.histogram.at(i));
        if (below * 2 >= entry.count) {
            const double centre = entry.histogram.axis().bin(i).center();
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(centre));
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(LongestSeconds));
}

Duration RunTimeEstimates::expected(std::string_view branch, std::string_view kind,
                                    Duration fallback) const
{
    const auto position = m_entries.find(std::pair<std::string, std::string>(branch, kind));
    if (position == m_entries.end() || position->second.median == Duration(0))
        return fallback;
    return position->second.median;
}

} // namespace Bluebellquay
