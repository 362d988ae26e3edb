// Log events of the dispatcher of keyed jobs.
#pragma once

#include "core/entryoutbox.h"
#include "core/keyedjob.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Bluebellquay {

// Why a home counts the runs of an agent as lost that has no link to it.
enum class AgentGoneReason : std::uint8_t {
    Away,     // for so long that the agent has stopped them, or their leases have run out
    Replaced, // a later incarnation of it has ended what the earlier one had started
};

void logAgentGivenUp(const ProcessInfo &agent, std::size_t runs, AgentGoneReason reason);

// Logs the end of a job that was not completed by its objective, with the values that explain it.
void logJobEnded(const KeyedJob &job, const Answer &answer, TimePoint now, std::size_t waitingTasks,
                 std::size_t agents);

// Logs the end of a run that did not succeed.
void logRunEnded(const KeyedJob &job, const EndedRun &ended, std::string_view agent);

} // namespace Bluebellquay
