// The metrics of an entry. Counters that are used for each request are looked up once at the start.
#pragma once

#include "core/configmanager.h"
#include "core/entryoutbox.h"
#include "core/entrystatistics.h"
#include "kernel/metrics.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Bluebellquay {

enum class EntryMethod : std::uint8_t {
    ReserveIds,
    Submit,
    Await,
    Cancel,
    Status,
    Drain,
    CheckConfig,
    ApplyConfig,
    ShowConfig,
};
constexpr std::size_t EntryMethods = 9;

class EntryMetrics
{
public:
    explicit EntryMetrics(Metrics &metrics);

    void countResult(EntryMethod method, const CallResult &result);
    void countError(EntryMethod method, CallErrorKind kind);
    void countOk(EntryMethod method);
    void recordTime(EntryMethod method, Duration time);

    // Copies the counters of the cores. Must be called before the metrics are read.
    void update(const EntryStatistics &statistics, std::size_t openCalls);
    void update(const ConfigStatistics &statistics, ConfigVersion version);

private:
    // Number of result labels: five states of a submission, one for other successes, then the
    // errors.
    static constexpr std::size_t Results = 14;
    // Size of the array; greater than the largest number of a Reason.
    static constexpr std::size_t Reasons = 64;

    void count(EntryMethod method, std::size_t result);
    void raise(std::string_view name, std::uint64_t value);

    Metrics &m_metrics;
    std::array<std::array<Counter *, Results>, EntryMethods> m_results{};
    std::array<TimeHistogram *, EntryMethods> m_times{};
    // Counter of each Reason, indexed by its number. Null for numbers that are not in use.
    std::array<Counter *, Reasons> m_reasons{};
};

} // namespace Bluebellquay
