#include "daemons/entry/entrymetrics.h"

#include <string>
#include <string_view>

namespace Bluebellquay {

namespace {

constexpr std::array<std::string_view, EntryMethods> MethodNames{
    "reserve_ids", "submit",       "await",        "cancel",     "status",
    "drain",       "check_config", "apply_config", "show_config"};

constexpr std::size_t OkResult = 5;
constexpr std::size_t FirstError = 6;
constexpr std::array<std::string_view, 14> ResultNames{"running",
                                                       "completed",
                                                       "failed",
                                                       "not_run",
                                                       "unknown",
                                                       "ok",
                                                       "invalid_argument",
                                                       "already_exists",
                                                       "not_found",
                                                       "unavailable",
                                                       "resource_exhausted",
                                                       "deadline_exceeded",
                                                       "aborted",
                                                       "failed_precondition"};

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

EntryMetrics::EntryMetrics(Metrics &metrics)
    : m_metrics(metrics)
{
    for (std::size_t method = 0; method < EntryMethods; ++method) {
        const std::string name(MethodNames[method]);
        for (std::size_t result = 0; result < Results; ++result) {
            m_results[method][result] =
                &metrics.counter("bluebellquay_entry_calls_total",
                                 {{"method", name}, {"result", std::string(ResultNames[result])}});
        }
        m_times[method] =
            &metrics.histogram("bluebellquay_entry_response_seconds", {{"method", name}});
    }
    for (std::size_t number = 0; number < Reasons; ++number) {
        const std::string_view name = toString(static_cast<Reason>(number));
        if (name != "invalid" && name != "none") {
            m_reasons[number] = &metrics.counter("bluebellquay_entry_answers_total",
                                                 {{"reason", std::string(name)}});
        }
    }
}

void EntryMetrics::countResult(EntryMethod method, const CallResult &result)
{
    if (const auto *error = std::get_if<CallError>(&result))
        return countError(method, error->kind);
    const auto *state = std::get_if<SubmissionState>(&result);
    if (state == nullptr)
        return countOk(method);
    if (!state->answer)
        return count(method, 0);
    count(method, static_cast<std::size_t>(state->answer->outcome));
    const auto reason = static_cast<std::size_t>(state->answer->reason);
    if (reason < Reasons && m_reasons[reason] != nullptr)
        m_reasons[reason]->add();
}

void EntryMetrics::countError(EntryMethod method, CallErrorKind kind)
{
    count(method, FirstError + static_cast<std::size_t>(kind));
}

void EntryMetrics::countOk(EntryMethod method)
{
    count(method, OkResult);
}

void EntryMetrics::count(EntryMethod method, std::size_t result)
{
    if (result < Results)
        m_results[static_cast<std::size_t>(method)][result]->add();
}

void EntryMetrics::recordTime(EntryMethod method, Duration time)
{
    m_times[static_cast<std::size_t>(method)]->record(static_cast<double>(time.count())
                                                      / MicrosecondsPerSecond);
}

void EntryMetrics::raise(std::string_view name, std::uint64_t value)
{
    Counter &counter = m_metrics.counter(name);
    counter.add(value - counter.value());
}

void EntryMetrics::update(const EntryStatistics &statistics, std::size_t openCalls)
{
    m_metrics.gauge("bluebellquay_entry_open_calls").set(static_cast<double>(openCalls));
    raise("bluebellquay_entry_ids_issued_total", statistics.idsIssued);
    raise("bluebellquay_entry_calls_resent_total", statistics.callsResent);
    raise("bluebellquay_entry_replies_ignored_total", statistics.repliesIgnored);
    raise("bluebellquay_entry_replies_invalid_total", statistics.repliesInvalid);
    raise("bluebellquay_entry_callers_left_total", statistics.callersLeft);
    raise("bluebellquay_entry_refusals_requested_total", statistics.refusalsRequested);
    raise("bluebellquay_entry_submissions_invalid_total", statistics.submissionsInvalid);
    raise("bluebellquay_entry_ids_malformed_total", statistics.idsMalformed);
    raise("bluebellquay_entry_messages_unexpected_total", statistics.messagesUnexpected);
}

void EntryMetrics::update(const ConfigStatistics &statistics, ConfigVersion version)
{
    m_metrics.gauge("bluebellquay_config_version").set(static_cast<double>(version.value()));
    raise("bluebellquay_config_reads_failed_total", statistics.readsFailed);
    raise("bluebellquay_config_writes_failed_total", statistics.writesFailed);
    raise("bluebellquay_config_conflicts_total", statistics.conflicts);
    raise("bluebellquay_config_documents_invalid_total", statistics.documentsInvalid);
    raise("bluebellquay_config_documents_outdated_total", statistics.documentsOutdated);
}

} // namespace Bluebellquay
