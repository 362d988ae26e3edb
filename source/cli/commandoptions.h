// What a command line asks for, after parsing.
#pragma once

#include "base/coretime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

enum class OutputForm : std::uint8_t { Table, Json };

struct CommandOptions
{
    // For example "submit" or "config apply".
    std::string command;
    // The one operand: id, agent or file; empty if there is none.
    std::string operand;
    bool help = false;
    std::vector<std::string> entries;
    std::vector<std::string> operators;
    std::string secretFile;
    // Time for the whole command with all its retries.
    Duration timeout{60'000'000};
    OutputForm output = OutputForm::Table;
    std::uint32_t count = 1;
    // Id for submit; reserved if empty.
    std::string id;
    std::uint32_t deadlineMs = 0;
    bool detach = false;
    std::optional<std::uint64_t> expectedVersion;
};

// Reported for a command line that can't be carried out.
struct UsageError
{
    std::string message;
    std::string remedy;
};

} // namespace Bluebellquay
