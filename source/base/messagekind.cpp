#include "base/messagekind.h"

#include <iterator>

namespace Bluebellquay {

namespace {

constexpr std::string_view KindNames[] = {
    "hello",           "heartbeat",      "directory",
    "config_document", "config_request", "submit",
    "await",           "stop_waiting",   "cancel",
    "refuse",          "query",          "reply",
    "reserve",         "pull",           "bind",
    "task_result",     "result_ack",     "withdraw",
    "task_query",      "task_state",     "handover",
    "handover_ack",    "succeeded",      "drain",
    "drain_ack",       "start_runs",     "stop_runs",
    "runs_at_agent",   "runs_ended",     "worker_room",
    "release_job",     "job_released",   "evacuation_notice",
};
static_assert(std::size(KindNames) == MessageKinds);

} // namespace

std::string_view messageKindName(std::size_t kind)
{
    return KindNames[kind];
}

} // namespace Bluebellquay
