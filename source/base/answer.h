// The final answer that a caller gets about a submission. There are no partial answers. The home of
// a submission is the process that accepted it and keeps its record.
#pragma once

#include "base/coretime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// Kinds of final answer. The numbers are part of the peer protocol.
enum class Outcome : std::uint8_t {
    Completed = 1, // every task succeeded
    Failed = 2,    // the submission ran and failed
    NotRun = 3,    // no task was started and none will be under this id
    Unknown = 4,   // whether tasks ran is not known
};

// Why an answer is not Completed. The numbers are part of the peer protocol; each reason has a
// counter of its own in the metrics.
enum class Reason : std::uint8_t {
    None = 0,
    // Not run: refused by admission.
    QueueFull = 1,
    DeadlineTooShort = 2,
    QuotaExceeded = 3,
    Overload = 4,
    Stopping = 5,
    UnknownKind = 6,
    InvalidJob = 7,
    NoWorker = 8,
    // Not run: ended before any task was started.
    CancelledBeforeStart = 9,
    DeadlineBeforeStart = 10,
    CannotFit = 11,
    // Failed.
    TaskFailed = 20,
    TaskLost = 21, // the executing worker is gone; a task of a job is never started again
    Cancelled = 22,
    DeadlineExceeded = 23,
    FailsEverywhere = 24, // the same job failed on several workers: it can never run
    // Unknown.
    HomeSilent = 40,  // the home does not respond now; ask again
    HomeGone = 41,    // the records of the home are lost; asking again is of no use
    ExpiredId = 42,   // no record, and the id is too old to be accepted
    OutcomeLost = 43, // the executing worker of a non-idempotent request is gone
};

// Snake-case name as used in answers, logs and metric labels, for example "queue_full".
std::string_view toString(Reason reason);
std::string_view toString(Outcome outcome);

// Final answer of a submission.
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::string detail;
    // How long to wait before trying again; nothing if trying again is of no use.
    std::optional<Duration> retryAfter;
    // Exactly one entry for each task, in order, if outcome is Completed; otherwise empty.
    std::vector<std::string> outputs;

    friend bool operator==(const Answer &, const Answer &) = default;
};

} // namespace Bluebellquay
