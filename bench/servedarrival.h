// Result of serving one arrival of a trace under one policy, as its caller sees it.
#pragma once

#include "base/answer.h"

#include <optional>

namespace Bluebellquay {

struct ServedArrival
{
    // First start of a task on a worker; empty if no task started.
    std::optional<TimePoint> started;
    // When the caller received the final answer; empty if it never did.
    std::optional<TimePoint> answered;
    // Valid only if `answered` is set.
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    // The answer told the caller when to retry.
    bool retryAfter = false;
    // Time between arrival and first start in which long work held a slot.
    Duration blockedByLong{0};

    bool completed() const { return answered && outcome == Outcome::Completed; }
    bool refused() const { return answered && outcome == Outcome::NotRun; }
};

} // namespace Bluebellquay
