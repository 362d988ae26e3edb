// What a task of the upstream stand-in does, as its payload says in JSON:
//   {"run_ms": 50, "fail": false, "echo": "text"}
// Each member may be missing.
#pragma once

#include "base/coretime.h"

#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

struct TaskProgram
{
    Duration runTime{0};
    bool fail = false;
    std::string echo;

    // Returns nothing if the payload is not of this form or runs for more than an hour.
    static std::optional<TaskProgram> parse(std::string_view payload);

    std::string toPayload() const;
    // What the stand-in returns: {"task": "<task>", "echo": "text"}. The task's id shows crossed
    // answers.
    std::string output(std::string_view task) const;
};

} // namespace Bluebellquay
