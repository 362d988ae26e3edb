// The submissions of one benchmark run: when they arrive, how long their tasks run and what callers
// declare. Every policy is given the same trace.
#pragma once

#include "base/coretime.h"
#include "config/ruleset.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Bluebellquay {

// A kind of request or job; run times are log-uniform within the range.
struct TraceKind
{
    std::string name;
    Urgency urgency = Urgency::Normal;
    Duration shortest{0};
    Duration longest{0};
    Duration deadline{0};
};

struct Arrival
{
    TimePoint time;
    // Index into ArrivalTrace::kinds().
    std::size_t kind = 0;
    // True and declared run times, one element for each task. A submission of one task is a single
    // request; any other is a job.
    std::vector<Duration> runTimes;
    std::vector<Duration> declared;

    bool isJob() const { return runTimes.size() > 1; }
    Duration work() const;
};

class ArrivalTrace
{
public:
    // Size of the site whose capacity both traces are scaled to.
    static constexpr std::uint32_t Workers = 11;
    static constexpr std::uint32_t SlotsPerWorker = 8;
    static constexpr std::uint32_t Slots = Workers * SlotsPerWorker;
    static constexpr const char *Branch = "bench";
    // One-way network delay between a caller and its entry.
    static constexpr Duration ClientDelay{1'000};
    // One-way network delay within a data centre.
    static constexpr Duration NearDelay{100};
    // Least network time of a request: from the caller through the entry to a home agent with a
    // free slot, and back.
    static constexpr Duration ShortestRoundTrips = (ClientDelay + NearDelay) * 2;

    // Steady load: 70% of the work is in jobs of 10 to 700 tasks, 1% of the tasks run 20 times
    // longer than usual, and callers declare sizes up to 4 times too low or too high. `load` is the
    // mean share of the slots in use.
    static ArrivalTrace normal(std::uint64_t seed, Duration length, double load);
    // Single requests at 80% load, and at 3 times the capacity between overloadStart() and
    // overloadEnd(); a quarter is urgent. No task runs 20 times longer, because it could not meet
    // its deadline.
    static ArrivalTrace overload(std::uint64_t seed);

    const std::vector<TraceKind> &kinds() const { return m_kinds; }
    const std::vector<Arrival> &arrivals() const { return m_arrivals; }
    const TraceKind &kindOf(const Arrival &arrival) const { return m_kinds[arrival.kind]; }
    std::shared_ptr<const RuleSet> rules() const;
    TimePoint overloadStart() const { return m_overloadStart; }
    TimePoint overloadEnd() const { return m_overloadEnd; }
    TimePoint end() const { return m_end; }

private:
    explicit ArrivalTrace(std::uint64_t seed)
        : m_random(seed)
    { }

    double uniform(double low, double high);
    double logUniform(double low, double high);
    Duration drawRunTime(std::size_t kind, double longShare);
    Arrival draw(std::size_t kind, std::size_t tasks, double longShare);
    // Adds single requests with Poisson arrivals whose work is this share of the capacity.
    void addRequests(TimePoint from, TimePoint to, double load);
    void sort();

    std::mt19937_64 m_random;
    std::vector<TraceKind> m_kinds;
    std::vector<Arrival> m_arrivals;
    TimePoint m_overloadStart{};
    TimePoint m_overloadEnd{};
    TimePoint m_end{};
};

} // namespace Bluebellquay
