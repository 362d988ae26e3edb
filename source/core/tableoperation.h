// Reads and writes of the platform's table that the decision logic requests.
#pragma once

#include "base/strongid.h"

#include <cstdint>
#include <string>

namespace Bluebellquay {

// Chosen by the core; matches a result to its request.
using TableOperation = StrongId<struct TableOperationTag>;

struct TableGet
{
    TableOperation operation;
    std::string key;
};

// Writes only if the row has the expected version; zero if it must not exist yet.
struct TablePut
{
    TableOperation operation;
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
};

struct TableRow
{
    std::string key;
    // Zero if the row does not exist.
    std::uint64_t version = 0;
    std::string value;
};

struct TableWrite
{
    // False if the row had another version; nothing was written then.
    bool ok = false;
    // Version of the row after the call.
    std::uint64_t version = 0;
};

} // namespace Bluebellquay
