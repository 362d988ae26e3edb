// Effects of calls into RunDispatcher and JobSupervisor.
#pragma once

#include "base/messages.h"
#include "core/keyedjob.h"

#include <utility>
#include <vector>

namespace Bluebellquay {

// The answer to one call that waits for a job.
struct JobAnswer
{
    CallId call;
    Answer answer;
};

// Effects of a call to the dispatcher, to be carried out in order.
struct DispatchOutbox
{
    // Messages with the process they are sent to: an agent, or an entry that asked for a release.
    std::vector<std::pair<Incarnation, Message>> messages;
    std::vector<JobAnswer> answers;
};

} // namespace Bluebellquay
