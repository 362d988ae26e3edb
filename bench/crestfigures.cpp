#include "crestfigures.h"

#include "siterun.h"
#include "slotqueue.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace Bluebellquay {

namespace {

// Slowdown that is recorded for an urgent request that is not completed.
constexpr double UnservedSlowdown = 1'000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool usefulAnswer(const ArrivalTrace &trace, const Arrival &arrival, const ServedArrival &served)
{
    return served.completed()
        && *served.answered - arrival.time
        <= trace.kindOf(arrival).deadline + ArrivalTrace::ShortestRoundTrips;
}

bool duringOverload(const ArrivalTrace &trace, const Arrival &arrival)
{
    return arrival.time >= trace.overloadStart() && arrival.time < trace.overloadEnd();
}

// Collects the measurements of one or more overload runs.
class OverloadSample
{
public:
    void add(const ArrivalTrace &trace, const std::vector<ServedArrival> &served)
    {
        m_usefulShares.push_back(usefulShares(trace, served, trace.overloadStart(),
                                              trace.overloadEnd(),
                                              trace.overloadEnd() - trace.overloadStart())
                                     .front());
        for (std::size_t i = 0; i < served.size(); ++i)
            addArrival(trace, trace.arrivals()[i], served[i]);
    }

    double usefulShare() const
    {
        return std::accumulate(m_usefulShares.begin(), m_usefulShares.end(), 0.0)
            / static_cast<double>(m_usefulShares.size());
    }
    double urgentSlowdown() const { return percentile(m_urgentSlowdowns, 0.99); }
    double refusalMilliseconds() const { return percentile(m_refusalTimes, 0.99); }
    double refusalsWithoutRetryAfter() const { return m_withoutRetryAfter; }
    // Time from the end of the overload until each arriving request is completed in time.
    double recoverySeconds() const { return seconds(m_recovery); }

    void log(std::ostream &out) const
    {
        out << "crest: useful shares";
        for (const double share : m_usefulShares)
            out << ' ' << share;
        for (const auto &[name, count] : m_outcomes)
            out << ' ' << name << '=' << count;
        out << '\n';
    }

private:
    void addArrival(const ArrivalTrace &trace, const Arrival &arrival, const ServedArrival &served)
    {
        const double response = served.answered ? seconds(*served.answered - arrival.time) : 0;
        if (served.refused()) {
            m_refusalTimes.push_back(response * 1'000);
            m_withoutRetryAfter += served.retryAfter ? 0 : 1;
        }
        if (duringOverload(trace, arrival) && trace.kindOf(arrival).urgency == Urgency::Urgent) {
            const Duration ideal = arrival.runTimes.front() + ArrivalTrace::ShortestRoundTrips;
            m_urgentSlowdowns.push_back(served.completed() ? response / seconds(ideal)
                                                           : UnservedSlowdown);
        }
        if (arrival.time >= trace.overloadEnd() && !usefulAnswer(trace, arrival, served))
            m_recovery = std::max(m_recovery, arrival.time - trace.overloadEnd());
        std::string name = duringOverload(trace, arrival) ? "crest." : "other.";
        name += trace.kindOf(arrival).name + ".";
        name += !served.answered ? "unanswered" : toString(served.outcome);
        if (served.reason != Reason::None)
            name += "." + std::string(toString(served.reason));
        ++m_outcomes[name];
    }

    std::vector<double> m_usefulShares;
    std::vector<double> m_urgentSlowdowns;
    std::vector<double> m_refusalTimes;
    double m_withoutRetryAfter = 0;
    Duration m_recovery{0};
    std::map<std::string, std::size_t> m_outcomes;
};

} // namespace

std::vector<double> usefulShares(const ArrivalTrace &trace,
                                 const std::vector<ServedArrival> &served, TimePoint from,
                                 TimePoint to, Duration interval)
{
    std::vector<double> shares(static_cast<std::size_t>((to - from) / interval));
    for (std::size_t i = 0; i < served.size(); ++i) {
        const Arrival &arrival = trace.arrivals()[i];
        if (!served[i].started || !usefulAnswer(trace, arrival, served[i]))
            continue;
        const TimePoint start = *served[i].started;
        const TimePoint end = start + arrival.runTimes.front();
        for (std::size_t bin = 0; bin < shares.size(); ++bin) {
            const TimePoint low = from + interval * bin;
            const Duration overlap = std::min(end, low + interval) - std::max(start, low);
            if (overlap > Duration(0))
                shares[bin] += seconds(overlap) / (seconds(interval) * ArrivalTrace::Slots);
        }
    }
    return shares;
}

std::vector<Figure> overloadFigures(std::uint64_t seed, std::size_t overloadRuns, std::ostream &log)
{
    const std::map<std::string, QueueOrder> orders{{"random", QueueOrder::RandomWorker},
                                                   {"fcfs", QueueOrder::FirstComeFirstServed}};
    OverloadSample own;
    std::map<std::string, OverloadSample> baselines;
    for (std::size_t i = 0; i < overloadRuns; ++i) {
        const ArrivalTrace trace = ArrivalTrace::overload(seed + i);
        SiteRun site(trace, {seed + i, false});
        site.run();
        own.add(trace, site.served());
        for (const auto &[name, order] : orders)
            baselines[name].add(trace, serveFromQueue(trace, order, seed + i));
    }
    own.log(log);
    std::vector<Figure> figures{
        {"crest_useful_share", own.usefulShare(), "share", Bound::AtLeast, 0.95, {}},
        {"crest_urgent_slowdown_p99", own.urgentSlowdown(), "ratio", Bound::AtMost, 1.5, {}},
        {"crest_refusal_ms_p99", own.refusalMilliseconds(), "ms", Bound::AtMost, 10, {}},
        {"crest_recovery_s", own.recoverySeconds(), "s", Bound::AtMost, 2, {}},
        {"crest_refusals_without_retry_after",
         own.refusalsWithoutRetryAfter(),
         "count",
         Bound::AtMost,
         0,
         {}},
    };
    for (const auto &[name, sample] : baselines) {
        figures[0].baselines[name] = figures[0].value / sample.usefulShare();
        figures[1].baselines[name] = figures[1].value / sample.urgentSlowdown();
        figures[3].baselines[name] = figures[3].value / sample.recoverySeconds();
    }
    return figures;
}

} // namespace Bluebellquay
