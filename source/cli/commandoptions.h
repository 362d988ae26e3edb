// Options of the command line after parsing.
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
    // Name of the command, for example "submit" or "config apply".
    std::string command;
    // Operand of the command: an id, an agent or a file. Empty if there is none.
    std::string operand;
    bool help = false;
    std::vector<std::string> entries;
    std::vector<std::string> operators;
    std::string secretFile;
    // Time limit for the whole command, including all retries.
    Duration timeout{60'000'000};
    OutputForm output = OutputForm::Table;
    std::uint32_t count = 1;
    // Submission id for submit. If it is empty, submit reserves one.
    std::string id;
    std::uint32_t deadlineMs = 0;
    bool detach = false;
    std::optional<std::uint64_t> expectedVersion;
};

// A command line that can't be carried out, and what the user has to do.
struct UsageError
{
    std::string message;
    std::string remedy;
};

} // namespace Bluebellquay
