#include "core/corestatistics.h"

#include <numeric>

namespace Bluebellquay {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(CoreCounter::Count)> CounterNames{
    "first_sights",      "duplicate_submits", "body_mismatches",     "expired_ids",
    "wrong_homes",       "records_full",      "replayed_pulls",      "empty_binds",
    "tasks_bound",       "tasks_started",     "tasks_succeeded",     "tasks_failed",
    "tasks_lost",        "tombstones",        "discarded_binds",     "resent_pulls",
    "resent_results",    "repeated_reserves", "forgotten_homes",     "quarantines",
    "quarantine_probes", "retries_denied",    "handed_over_records", "adopted_records",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> RetryNames{
    "task_failed", "task_lost", "not_started"};

} // namespace

void CoreStatistics::addAnswer(const Answer &answer)
{
    const std::size_t outcome = index(answer.outcome);
    const std::size_t reason = index(answer.reason);
    if (outcome < OutcomeLimit && reason < ReasonLimit)
        ++m_answers[outcome][reason];
}

std::uint64_t CoreStatistics::answers(Outcome outcome, Reason reason) const
{
    return m_answers.at(index(outcome)).at(index(reason));
}

std::uint64_t CoreStatistics::sentTotal() const
{
    return std::accumulate(m_sent.begin(), m_sent.end(), std::uint64_t(0));
}

void CoreStatistics::visit(const Visitor &visitor) const
{
    for (std::size_t i = 0; i < m_counters.size(); ++i)
        visitor(CounterNames[i], "", "", m_counters[i]);
    for (std::size_t i = 0; i < m_retries.size(); ++i)
        visitor("retries", "reason", RetryNames[i], m_retries[i]);
    for (std::size_t outcome = 1; outcome < OutcomeLimit; ++outcome) {
        for (std::size_t reason = 0; reason < ReasonLimit; ++reason) {
            if (m_answers[outcome][reason] > 0)
                visitor(toString(static_cast<Outcome>(outcome)), "reason",
                        toString(static_cast<Reason>(reason)), m_answers[outcome][reason]);
        }
    }
    for (std::size_t i = 0; i < MessageKinds; ++i) {
        visitor("messages_sent", "kind", messageKindName(i), m_sent[i]);
        visitor("messages_received", "kind", messageKindName(i), m_received[i]);
    }
}

std::string_view toString(CoreCounter counter)
{
    return CounterNames.at(static_cast<std::size_t>(counter));
}

std::string_view toString(RetryReason reason)
{
    return RetryNames.at(static_cast<std::size_t>(reason));
}

} // namespace Bluebellquay
