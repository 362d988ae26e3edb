#include "crestfigures.h"

#include "siterun.h"
#include "slotqueue.h"

#include <algorithm>
#include <map>

namespace Bluebellquay {

namespace {

// Stands for an urgent request that was not completed.
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

bool inCrest(const ArrivalTrace &trace, const Arrival &arrival)
{
    return arrival.time >= trace.crestStart() && arrival.time < trace.crestEnd();
}

class CrestView
{
public:
    CrestView(const ArrivalTrace &trace, const std::vector<ServedArrival> &served)
        : m_trace(trace)
        , m_served(served)
    { }

    double usefulShare() const
    {
        return usefulShares(m_trace, m_served, m_trace.crestStart(), m_trace.crestEnd(),
                            m_trace.crestEnd() - m_trace.crestStart())
            .front();
    }

    double urgentSlowdown() const
    {
        std::vector<double> slowdowns;
        each([&](const Arrival &arrival, const ServedArrival &served) {
            if (!inCrest(m_trace, arrival) || m_trace.kindOf(arrival).urgency != Urgency::Urgent)
                return;
            const Duration ideal = arrival.runTimes.front() + ArrivalTrace::ShortestRoundTrips;
            slowdowns.push_back(served.completed()
                                    ? seconds(*served.answered - arrival.time) / seconds(ideal)
                                    : UnservedSlowdown);
        });
        return percentile(slowdowns, 0.99);
    }

    double refusalMilliseconds() const
    {
        std::vector<double> times;
        each([&](const Arrival &arrival, const ServedArrival &served) {
            if (served.refused())
                times.push_back(seconds(*served.answered - arrival.time) * 1'000);
        });
        return percentile(times, 0.99);
    }

    double refusalsWithoutRetryAfter() const
    {
        double count = 0;
        each([&](const Arrival &, const ServedArrival &served) {
            count += served.refused() && !served.retryAfter ? 1 : 0;
        });
        return count;
    }

    // Time after the crest until every request that arrives is accepted and answered in time.
    double recoverySeconds() const
    {
        Duration last{0};
        each([&](const Arrival &arrival, const ServedArrival &served) {
            if (arrival.time >= m_trace.crestEnd() && !usefulAnswer(m_trace, arrival, served))
                last = std::max(last, arrival.time - m_trace.crestEnd());
        });
        return seconds(last);
    }

    void log(std::ostream &out) const
    {
        std::map<std::string, std::size_t> counts;
        each([&](const Arrival &arrival, const ServedArrival &served) {
            std::string name = inCrest(m_trace, arrival) ? "crest." : "other.";
            name += m_trace.kindOf(arrival).name + ".";
            name += !served.answered ? "unanswered" : toString(served.outcome);
            if (served.reason != Reason::None)
                name += "." + std::string(toString(served.reason));
            ++counts[name];
        });
        out << "crest:";
        for (const auto &[name, count] : counts)
            out << ' ' << name << '=' << count;
        out << '\n';
    }

private:
    template <typename Visit>
    void each(Visit visit) const
    {
        for (std::size_t i = 0; i < m_served.size(); ++i)
            visit(m_trace.arrivals()[i], m_served[i]);
    }

    const ArrivalTrace &m_trace;
    const std::vector<ServedArrival> &m_served;
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

std::vector<Figure> crestFigures(std::uint64_t seed, std::ostream &log)
{
    const ArrivalTrace trace = ArrivalTrace::crest(seed);
    SiteRun site(trace, {seed, false});
    site.run();
    const CrestView own(trace, site.served());
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
    const std::map<std::string, QueueOrder> baselines{{"random", QueueOrder::RandomWorker},
                                                      {"fcfs", QueueOrder::FirstComeFirstServed}};
    for (const auto &[name, order] : baselines) {
        const auto served = serveFromQueue(trace, order, seed);
        const CrestView view(trace, served);
        figures[0].baselines[name] = figures[0].value / view.usefulShare();
        figures[1].baselines[name] = figures[1].value / view.urgentSlowdown();
        figures[3].baselines[name] = figures[3].value / view.recoverySeconds();
    }
    return figures;
}

} // namespace Bluebellquay
