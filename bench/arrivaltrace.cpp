#include "arrivaltrace.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Bluebellquay {

namespace {

constexpr Duration Second{1'000'000};
constexpr Duration Millisecond{1'000};
// Leaves time for the processes of the site to exchange heartbeats.
constexpr TimePoint FirstArrival(Second * 2);

constexpr double JobWorkShare = 0.7;
constexpr double FewestJobTasks = 10;
constexpr double MostJobTasks = 700;
constexpr double LongShare = 0.01;
constexpr int LongFactor = 20;
constexpr double DeclaredError = 4;

constexpr double BaseLoad = 0.8;
constexpr double OverloadLoad = 3;
constexpr double UrgentShare = 0.25;
// The dispatcher learns the run times of each kind before the overload.
constexpr Duration TimeBeforeOverload = Second * 10;
constexpr Duration OverloadLength = Second * 5;
constexpr Duration TimeAfterOverload = Second * 30;

const std::vector<TraceKind> NormalKinds{
    {"check_revision", Urgency::Normal, Millisecond * 50, Millisecond * 150, Second * 30},
    {"search", Urgency::Normal, Millisecond * 150, Millisecond * 400, Second * 30},
    {"fetch_sheet", Urgency::Normal, Millisecond * 400, Second, Second * 30},
    {"reindex", Urgency::Normal, Millisecond * 50, Millisecond * 300, Second * 600},
    {"redraw", Urgency::Normal, Millisecond * 200, Second, Second * 600},
};
constexpr std::size_t NormalRequestKinds = 3;

// The first half of the kinds is urgent; addRequests() relies on this.
const std::vector<TraceKind> OverloadKinds{
    {"pan_closing", Urgency::Urgent, Millisecond * 50, Millisecond * 250, Second * 2},
    {"buyer_confirmation", Urgency::Urgent, Millisecond * 250, Second, Second * 2},
    {"weighing_tally", Urgency::Normal, Millisecond * 50, Millisecond * 250, Second * 2},
    {"pan_history", Urgency::Normal, Millisecond * 250, Second, Second * 2},
};

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Duration Arrival::work() const
{
    return std::accumulate(runTimes.begin(), runTimes.end(), Duration(0));
}

double ArrivalTrace::uniform(double low, double high)
{
    constexpr double Scale = 0x1p-53;
    return low + (high - low) * (static_cast<double>(m_random() >> 11) * Scale);
}

double ArrivalTrace::logUniform(double low, double high)
{
    return std::exp(uniform(std::log(low), std::log(high)));
}

Duration ArrivalTrace::drawRunTime(std::size_t kind, double longShare)
{
    const Duration usual = fromSeconds(
        logUniform(toSeconds(m_kinds[kind].shortest), toSeconds(m_kinds[kind].longest)));
    return uniform(0, 1) < longShare ? usual * LongFactor : usual;
}

Arrival ArrivalTrace::draw(std::size_t kind, std::size_t tasks, double longShare)
{
    Arrival arrival;
    arrival.kind = kind;
    for (std::size_t i = 0; i < tasks; ++i) {
        const Duration runTime = drawRunTime(kind, longShare);
        arrival.runTimes.push_back(runTime);
        arrival.declared.push_back(
            fromSeconds(toSeconds(runTime) * logUniform(1 / DeclaredError, DeclaredError)));
    }
    return arrival;
}

ArrivalTrace ArrivalTrace::normal(std::uint64_t seed, Duration length, double load)
{
    ArrivalTrace trace(seed);
    trace.m_kinds = NormalKinds;
    trace.m_end = FirstArrival + length;
    const double work = toSeconds(length) * Slots * load;
    const auto add = [&](std::size_t kind, std::size_t tasks) {
        Arrival arrival = trace.draw(kind, tasks, LongShare);
        arrival.time = FirstArrival + fromSeconds(trace.uniform(0, toSeconds(length)));
        trace.m_arrivals.push_back(std::move(arrival));
        return toSeconds(trace.m_arrivals.back().work());
    };
    for (double left = work * (1 - JobWorkShare); left > 0;)
        left -= add(trace.m_random() % NormalRequestKinds, 1);
    for (double left = work * JobWorkShare; left > 0;) {
        const std::size_t kind =
            NormalRequestKinds + trace.m_random() % (NormalKinds.size() - NormalRequestKinds);
        left -= add(
            kind,
            static_cast<std::size_t>(std::lround(trace.logUniform(FewestJobTasks, MostJobTasks))));
    }
    trace.sort();
    return trace;
}

ArrivalTrace ArrivalTrace::overload(std::uint64_t seed)
{
    ArrivalTrace trace(seed);
    trace.m_kinds = OverloadKinds;
    trace.m_overloadStart = FirstArrival + TimeBeforeOverload;
    trace.m_overloadEnd = trace.m_overloadStart + OverloadLength;
    trace.m_end = trace.m_overloadEnd + TimeAfterOverload;
    trace.addRequests(FirstArrival, trace.m_overloadStart, BaseLoad);
    trace.addRequests(trace.m_overloadStart, trace.m_overloadEnd, OverloadLoad);
    trace.addRequests(trace.m_overloadEnd, trace.m_end, BaseLoad);
    trace.sort();
    return trace;
}

void ArrivalTrace::addRequests(TimePoint from, TimePoint to, double load)
{
    const std::size_t half = m_kinds.size() / 2;
    for (double left = toSeconds(to - from) * Slots * load; left > 0;) {
        const std::size_t first = uniform(0, 1) < UrgentShare ? 0 : half;
        Arrival arrival = draw(first + m_random() % half, 1, 0);
        arrival.time = from + fromSeconds(uniform(0, toSeconds(to - from)));
        left -= toSeconds(arrival.work());
        m_arrivals.push_back(std::move(arrival));
    }
}

void ArrivalTrace::sort()
{
    std::stable_sort(m_arrivals.begin(), m_arrivals.end(),
                     [](const Arrival &a, const Arrival &b) { return a.time < b.time; });
}

std::shared_ptr<const RuleSet> ArrivalTrace::rules() const
{
    auto rules = std::make_shared<RuleSet>();
    BranchRule &branch = rules->branches[Branch];
    for (const TraceKind &kind : m_kinds) {
        KindRule &rule = branch.kinds[kind.name];
        rule.urgency = kind.urgency;
        rule.idempotent = kind.deadline <= Second * 30;
        rule.expectedRunTime = (kind.shortest + kind.longest) / 2;
        rule.deadline = kind.deadline;
    }
    return rules;
}

} // namespace Bluebellquay
