#include "standins/loadreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Bluebellquay {

namespace {

using Json = nlohmann::ordered_json;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Nearest-rank quantiles; sorts the values.
Json quantiles(std::vector<float> &values)
{
    std::sort(values.begin(), values.end());
    const auto at = [&](double fraction) -> Json {
        if (values.empty())
            return nullptr;
        const auto rank =
            static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
        return values[std::max<std::size_t>(rank, 1) - 1];
    };
    return {{"count", values.size()}, {"p50", at(0.5)}, {"p99", at(0.99)}, {"max", at(1)}};
}

Json toJson(const LoadRecord &record)
{
    return {{"number", record.number},
            {"id", record.id},
            {"branch", record.branch},
            {"kind", record.kind},
            {"tasks", record.tasks},
            {"arrival_ms", milliseconds(record.arrival)},
            {"latency_ms", milliseconds(record.latency)},
            {"longest_run_ms", milliseconds(record.longestRun)},
            {"work_ms", milliseconds(record.work)},
            {"attempts", record.attempts},
            {"entry", record.entry},
            {"outcome", record.outcome},
            {"reason", record.reason},
            {"detail", record.detail},
            {"retry_after_ms", record.retryAfterMs},
            {"partial", record.partial},
            {"crossed", record.crossed}};
}

} // namespace

void LoadReport::add(const LoadRecord &record)
{
    ++m_count;
    m_attempts += record.attempts;
    m_partial += record.partial ? 1 : 0;
    m_crossed += record.crossed ? 1 : 0;
    ++m_outcomes[record.outcome];
    if (!record.reason.empty())
        ++m_reasons[record.outcome + ":" + record.reason];
    const auto latency = static_cast<float>(milliseconds(record.latency));
    if (record.outcome == "completed") {
        m_completedMs[record.branch + "/" + record.kind].push_back(latency);
        m_completedWork += record.work;
        if (record.tasks == 1 && record.longestRun > Duration(0))
            m_requestSlowdown.push_back(latency
                                        / static_cast<float>(milliseconds(record.longestRun)));
    } else if (record.outcome == "not_run") {
        m_refusedMs.push_back(latency);
    }
    if (m_lines != nullptr)
        *m_lines << dump(toJson(record)) << '\n';
}

std::uint64_t LoadReport::count(const std::string &outcome) const
{
    const auto position = m_outcomes.find(outcome);
    return position == m_outcomes.end() ? 0 : position->second;
}

std::string LoadReport::summary(Duration elapsed, Duration processorTime)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    std::vector<float> all;
    Json kinds = Json::object();
    for (auto &[kind, values] : m_completedMs) {
        all.insert(all.end(), values.begin(), values.end());
        kinds[kind] = quantiles(values);
    }
    return dump({{"submissions", m_count},
                 {"seconds", seconds},
                 {"processor_s", milliseconds(processorTime) / 1000},
                 {"completed_per_s", static_cast<double>(count("completed")) / seconds},
                 {"completed_work_s", milliseconds(m_completedWork) / 1000},
                 {"attempts", m_attempts},
                 {"latency_ms", quantiles(all)},
                 {"latency_ms_by_kind", kinds},
                 {"refusal_ms", quantiles(m_refusedMs)},
                 {"request_slowdown", quantiles(m_requestSlowdown)},
                 {"outcomes", m_outcomes},
                 {"reasons", m_reasons},
                 {"call_errors", m_callErrors},
                 {"partial", m_partial},
                 {"crossed", m_crossed}});
}

} // namespace Bluebellquay
