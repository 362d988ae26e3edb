#include "normalfigures.h"

#include "siterun.h"
#include "slotqueue.h"

#include <algorithm>
#include <map>

namespace Bluebellquay {

namespace {

constexpr double Load = 0.8;

struct Baseline
{
    std::string name;
    std::vector<ServedArrival> served;
};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

template <typename Values>
void addRatio(Figure &figure, const Baseline &baseline, double share, Values values)
{
    figure.baselines[baseline.name] = figure.value / percentile(values(baseline.served), share);
}

double blockedShare(const SiteRun &site, const ArrivalTrace &trace)
{
    std::vector<double> blocked;
    const double median = seconds(site.medianShortRunTime());
    for (std::size_t i = 0; i < trace.arrivals().size(); ++i) {
        if (SiteRun::isShort(trace.arrivals()[i]) && site.served()[i].started)
            blocked.push_back(seconds(site.served()[i].blockedByLong) / median);
    }
    return percentile(blocked, 0.99);
}

double notCompletedShare(const std::vector<ServedArrival> &served)
{
    const auto failed = std::count_if(served.begin(), served.end(),
                                      [](const ServedArrival &one) { return !one.completed(); });
    return static_cast<double>(failed) / static_cast<double>(served.size());
}

void logOutcomes(const std::vector<ServedArrival> &served, std::ostream &log)
{
    std::map<std::string, std::size_t> counts;
    for (const ServedArrival &one : served) {
        if (!one.answered)
            ++counts["unanswered"];
        else
            ++counts[std::string(toString(one.outcome)) + "/" + std::string(toString(one.reason))];
    }
    for (const auto &[name, count] : counts)
        log << ' ' << name << '=' << count;
    log << '\n';
}

} // namespace

std::vector<double> requestSlowdowns(const ArrivalTrace &trace,
                                     const std::vector<ServedArrival> &served)
{
    std::vector<double> slowdowns;
    for (std::size_t i = 0; i < served.size(); ++i) {
        const Arrival &arrival = trace.arrivals()[i];
        if (arrival.isJob() || !served[i].completed())
            continue;
        const Duration ideal = arrival.runTimes.front() + ArrivalTrace::ShortestRoundTrips;
        slowdowns.push_back(seconds(*served[i].answered - arrival.time) / seconds(ideal));
    }
    return slowdowns;
}

std::vector<double> makespanRatios(const ArrivalTrace &trace,
                                   const std::vector<ServedArrival> &served,
                                   const std::vector<ServedArrival> &reference)
{
    std::vector<double> ratios;
    for (std::size_t i = 0; i < served.size(); ++i) {
        const Arrival &arrival = trace.arrivals()[i];
        if (arrival.isJob() && served[i].completed())
            ratios.push_back(seconds(*served[i].answered - arrival.time)
                             / seconds(*reference[i].answered - arrival.time));
    }
    return ratios;
}

std::vector<Figure> normalFigures(std::uint64_t seed, Duration length, std::ostream &log)
{
    const ArrivalTrace trace = ArrivalTrace::normal(seed, length, Load);
    SiteRun site(trace, {seed, false});
    site.run();
    const auto reference = serveFromQueue(trace, QueueOrder::Omniscient, seed);
    const std::vector<Baseline> baselines{
        {"random", serveFromQueue(trace, QueueOrder::RandomWorker, seed)},
        {"declared", serveFromQueue(trace, QueueOrder::DeclaredTasks, seed)},
        {"fcfs", serveFromQueue(trace, QueueOrder::FirstComeFirstServed, seed)}};
    const auto slowdowns = [&](const std::vector<ServedArrival> &served) {
        return requestSlowdowns(trace, served);
    };
    const auto ratios = [&](const std::vector<ServedArrival> &served) {
        return makespanRatios(trace, served, reference);
    };
    log << "normal: " << site.messages().toString() << "\nnormal:";
    logOutcomes(site.served(), log);

    const auto upTo = [](std::string name, double value, std::string unit, double bound) {
        return Figure{std::move(name), value, std::move(unit), Bound::AtMost, bound, {}};
    };
    const auto ownSlowdowns = slowdowns(site.served());
    const auto ownRatios = ratios(site.served());
    std::vector<Figure> figures{
        upTo("request_slowdown_p50", percentile(ownSlowdowns, 0.5), "ratio", 1.02),
        upTo("request_slowdown_p99", percentile(ownSlowdowns, 0.99), "ratio", 1.15),
        upTo("job_makespan_ratio_p50", percentile(ownRatios, 0.5), "ratio", 1.05),
        upTo("job_makespan_ratio_p99", percentile(ownRatios, 0.99), "ratio", 1.3),
        upTo("short_blocked_by_long_p99", blockedShare(site, trace), "runs", 1),
        upTo("wasted_messages_normal", site.messages().wasted(), "share", 0.05),
        // Shows how much of job_makespan_ratio_p99 is due to the order of the tasks within a job.
        {"job_makespan_ratio_p99_caller_order",
         percentile(makespanRatios(trace, site.served(),
                                   serveFromQueue(trace, QueueOrder::CallerTasks, seed)),
                    0.99),
         "ratio",
         Bound::None,
         0,
         {}},
        {"normal_not_completed", notCompletedShare(site.served()), "share", Bound::None, 0, {}},
    };
    for (const Baseline &baseline : baselines) {
        addRatio(figures[0], baseline, 0.5, slowdowns);
        addRatio(figures[1], baseline, 0.99, slowdowns);
        addRatio(figures[2], baseline, 0.5, ratios);
        addRatio(figures[3], baseline, 0.99, ratios);
    }
    const auto omniscient = slowdowns(reference);
    figures[0].baselines["omniscient"] = figures[0].value / percentile(omniscient, 0.5);
    figures[1].baselines["omniscient"] = figures[1].value / percentile(omniscient, 0.99);
    return figures;
}

Figure wastedMessagesWithFaults(std::uint64_t seed, Duration length, std::ostream &log)
{
    const ArrivalTrace trace = ArrivalTrace::normal(seed, length, Load);
    SiteRun site(trace, {seed, true});
    site.run();
    log << "faulty: " << site.messages().toString() << "\nfaulty:";
    logOutcomes(site.served(), log);
    return {"wasted_messages_faulty", site.messages().wasted(), "share", Bound::AtMost, 0.15, {}};
}

} // namespace Bluebellquay
