// Records of a load run: one JSON line for each submission, and a summary.
#pragma once

#include "base/coretime.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace Bluebellquay {

struct LoadRecord
{
    std::uint64_t number = 0;
    std::string id;
    std::string branch;
    std::string kind;
    std::uint32_t tasks = 0;
    // Since the start of the run.
    Duration arrival{0};
    // From arrival to the final answer.
    Duration latency{0};
    Duration longestRun{0};
    Duration work{0};
    std::uint32_t attempts = 0;
    // Index of the entry that gave the final answer.
    std::size_t entry = 0;
    // completed, failed, not_run or unknown as answered; error if the call was rejected; unfinished
    // if the run ended first; not_sent if no call was made.
    std::string outcome;
    // The answer's reason, or "connect_<code>" for a call that ended with an error.
    std::string reason;
    std::string detail;
    std::uint32_t retryAfterMs = 0;
    // A completed answer without one output for each task.
    bool partial = false;
    // An answer that belongs to another submission or task.
    bool crossed = false;
};

class LoadReport
{
public:
    // Lines are not written if the stream is null, which must outlive the report.
    explicit LoadReport(std::ostream *lines)
        : m_lines(lines)
    { }

    void add(const LoadRecord &record);
    // A call that ended with an error, whether or not it was repeated.
    void addCallError(const std::string &code) { ++m_callErrors[code]; }

    std::uint64_t count() const { return m_count; }
    std::uint64_t count(const std::string &outcome) const;
    // One JSON object. Throughput counts completed submissions over the elapsed time; the processor
    // time is that of the load generator, which shows whether it was the bottleneck.
    std::string summary(Duration elapsed, Duration processorTime);

private:
    std::ostream *m_lines;
    std::uint64_t m_count = 0;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_partial = 0;
    std::uint64_t m_crossed = 0;
    Duration m_completedWork{0};
    std::map<std::string, std::uint64_t> m_outcomes;
    // "<outcome>:<reason>"
    std::map<std::string, std::uint64_t> m_reasons;
    std::map<std::string, std::uint64_t> m_callErrors;
    // In milliseconds: of completed submissions by "<branch>/<kind>", and of refused ones.
    std::map<std::string, std::vector<float>> m_completedMs;
    std::vector<float> m_refusedMs;
    // Latency of completed single requests relative to their run time.
    std::vector<float> m_requestSlowdown;
};

} // namespace Bluebellquay
