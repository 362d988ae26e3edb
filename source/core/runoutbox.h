// Effects of calls into RunTracker and RunCalls; the calling process carries them out in order.
#pragma once

#include "base/messages.h"
#include "core/workercalls.h"

#include <utility>
#include <vector>

namespace Bluebellquay {

struct RunOutbox
{
    std::vector<std::pair<Incarnation, Message>> messages;
    std::vector<WorkerStart> starts;
    std::vector<WorkerStop> stops;
    // Whether to ask the worker for a run listing at once.
    bool look = false;
};

} // namespace Bluebellquay
