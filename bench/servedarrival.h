// What became of one arrival under one policy, as its caller sees it.
#pragma once

#include "base/answer.h"

#include <optional>

namespace Bluebellquay {

struct ServedArrival
{
    // First start of a task on a worker.
    std::optional<TimePoint> started;
    // When the caller had the final answer.
    std::optional<TimePoint> answered;
    // Valid only with answered.
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool retryAfter = false;
    // Time between arrival and first start in which long work held a slot.
    Duration blockedByLong{0};

    bool completed() const { return answered && outcome == Outcome::Completed; }
    bool refused() const { return answered && outcome == Outcome::NotRun; }
};

} // namespace Bluebellquay
