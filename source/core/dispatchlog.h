// Log events of the dispatcher of keyed jobs.
#pragma once

#include "core/entryoutbox.h"
#include "core/keyedjob.h"

#include <cstddef>
#include <string_view>

namespace Bluebellquay {

// Logs the end of a job that was not completed by its objective, with the values that explain it.
void logJobEnded(const KeyedJob &job, const Answer &answer, TimePoint now, std::size_t waitingTasks,
                 std::size_t agents);

// Logs the end of a run that did not succeed.
void logRunEnded(const KeyedJob &job, const EndedRun &ended, std::string_view agent);

} // namespace Bluebellquay
