// Exit codes of the command line; documented in help/bluebellquay.md.
#pragma once

namespace Bluebellquay {

enum class ExitCode : int {
    // The submission completed, or the command did what was asked.
    Completed = 0,
    // The submission failed, or the system rejected the call (findings, conflict, bad request).
    Failed = 1,
    // Invalid command line or input file; nothing was sent.
    Usage = 2,
    // No task was started and none will be under this id.
    NotRun = 3,
    // It is not known whether tasks ran or a change took effect.
    Unknown = 4,
    // No address could be reached and nothing was sent.
    Unreachable = 5,
    // The submission has no answer yet (status, or the timeout of await and submit).
    Running = 6,
};

} // namespace Bluebellquay
