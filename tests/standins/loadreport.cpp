#include "standins/loadreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

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

// Appends members of a JSON object to a line. Building a JSON value for each submission took 14 us,
// more than sending it.
class LineWriter
{
public:
    LineWriter &add(std::string_view key, std::uint64_t value)
    {
        begin(key);
        m_line += std::to_string(value);
        return *this;
    }
    LineWriter &add(std::string_view key, bool value)
    {
        begin(key);
        m_line += value ? "true" : "false";
        return *this;
    }
    LineWriter &add(std::string_view key, const std::string &value)
    {
        begin(key);
        // Text from answers may hold anything.
        m_line += isPlain(value) ? '"' + value + '"' : dump(value);
        return *this;
    }
    // In milliseconds with three digits behind the point.
    LineWriter &add(std::string_view key, Duration value)
    {
        begin(key);
        constexpr std::int64_t PerMillisecond = 1000;
        const std::string fraction = std::to_string(value.count() % PerMillisecond);
        m_line += std::to_string(value.count() / PerMillisecond) + ".";
        m_line.append(3 - fraction.size(), '0').append(fraction);
        return *this;
    }
    std::string finish() { return std::move(m_line) + "}\n"; }

private:
    static bool isPlain(const std::string &text)
    {
        return std::all_of(text.begin(), text.end(),
                           [](char c) { return c >= ' ' && c != '"' && c != '\\' && c != 0x7f; });
    }
    void begin(std::string_view key)
    {
        m_line += m_line.empty() ? "{\"" : ",\"";
        m_line += key;
        m_line += "\":";
    }

    std::string m_line;
};

std::string toLine(const LoadRecord &record)
{
    return LineWriter()
        .add("number", record.number)
        .add("id", record.id)
        .add("branch", record.branch)
        .add("kind", record.kind)
        .add("tasks", std::uint64_t{record.tasks})
        .add("arrival_ms", record.arrival)
        .add("latency_ms", record.latency)
        .add("longest_run_ms", record.longestRun)
        .add("work_ms", record.work)
        .add("attempts", std::uint64_t{record.attempts})
        .add("entry", std::uint64_t{record.entry})
        .add("outcome", record.outcome)
        .add("reason", record.reason)
        .add("detail", record.detail)
        .add("retry_after_ms", std::uint64_t{record.retryAfterMs})
        .add("partial", record.partial)
        .add("crossed", record.crossed)
        .finish();
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
        *m_lines << toLine(record);
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
