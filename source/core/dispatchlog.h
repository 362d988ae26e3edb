// Log lines of the home of keyed jobs.
#pragma once

#include "core/entryoutbox.h"
#include "core/keyedjob.h"

#include <cstddef>
#include <string_view>

namespace Bluebellquay {

// A job that was not completed in time, with what decided its end.
void logJobEnded(const KeyedJob &job, const Answer &answer, TimePoint now, std::size_t waitingTasks,
                 std::size_t agents);

// A run that did not end as done.
void logRunEnded(const KeyedJob &job, const EndedRun &ended, std::string_view agent);

} // namespace Bluebellquay
