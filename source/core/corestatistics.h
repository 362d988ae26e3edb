// Counters of the decision cores: one for each message kind, refusal, answer and retry reason, and
// for each event that the tests and operators look at.
#pragma once

#include "base/messagekind.h"
#include "base/messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace Bluebellquay {

enum class CoreCounter : std::uint8_t {
    NewSubmissions,
    DuplicateSubmits,
    BodyMismatches,
    ExpiredIds,
    WrongHomes,
    RecordsFull,
    ReplayedPulls,
    EmptyBinds,
    TasksBound,
    TasksStarted,
    TasksSucceeded,
    TasksFailed,
    TasksLost,
    Tombstones,
    DiscardedBinds,
    ResentPulls,
    ResentResults,
    RepeatedReserves,
    ForgottenHomes,
    Quarantines,
    QuarantineProbes,
    RetriesDenied,
    HandedOverRecords,
    AdoptedRecords,
    Count
};

enum class RetryReason : std::uint8_t { TaskFailed, TaskLost, NotStarted, Count };

class CoreStatistics
{
    template <typename Enum>
    static constexpr std::size_t index(Enum value)
    {
        return static_cast<std::size_t>(value);
    }

public:
    static constexpr std::size_t ReasonLimit = 64;
    static constexpr std::size_t MessageKinds = Bluebellquay::MessageKinds;
    using Visitor = std::function<void(std::string_view name, std::string_view label,
                                       std::string_view labelValue, std::uint64_t value)>;

    void add(CoreCounter counter, std::uint64_t amount = 1)
    {
        m_counters[index(counter)] += amount;
    }
    void addAnswer(const Answer &answer);
    void addRetry(RetryReason reason) { ++m_retries[index(reason)]; }
    void addSent(const Message &message) { ++m_sent[message.index()]; }
    void addReceived(const Message &message) { ++m_received[message.index()]; }

    std::uint64_t value(CoreCounter counter) const { return m_counters[index(counter)]; }
    std::uint64_t retries(RetryReason reason) const { return m_retries[index(reason)]; }
    // Final answers with this outcome and reason; refusals are those with Outcome::NotRun.
    std::uint64_t answers(Outcome outcome, Reason reason) const;
    std::uint64_t sent(std::size_t kind) const { return m_sent[kind]; }
    std::uint64_t received(std::size_t kind) const { return m_received[kind]; }
    // Messages to other processes.
    std::uint64_t sentTotal() const;

    // Calls the visitor for each counter; the label is empty for counters without one.
    void visit(const Visitor &visitor) const;

private:
    static constexpr std::size_t OutcomeLimit = 5;
    std::array<std::uint64_t, static_cast<std::size_t>(CoreCounter::Count)> m_counters{};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> m_retries{};
    std::array<std::array<std::uint64_t, ReasonLimit>, OutcomeLimit> m_answers{};
    std::array<std::uint64_t, MessageKinds> m_sent{};
    std::array<std::uint64_t, MessageKinds> m_received{};
};

// Snake-case names as used for metric labels.
std::string_view toString(CoreCounter counter);
std::string_view toString(RetryReason reason);

} // namespace Bluebellquay
