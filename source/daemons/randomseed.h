// Random numbers from the system's generator, for values that must not be guessed or repeated.
#pragma once

#include "base/submissionid.h"

#include <cstdint>

namespace Bluebellquay {

// Returns 64 random bits from the system's generator.
std::uint64_t randomSeed();

// Returns a random incarnation for a new process. It is never zero, which means "no process".
Incarnation randomIncarnation();

} // namespace Bluebellquay
