// Random numbers from the system, for what must not be guessed or repeated.
#pragma once

#include "base/submissionid.h"

#include <cstdint>

namespace Bluebellquay {

// 64 bits from the system's generator.
std::uint64_t randomSeed();

// A new incarnation; never zero, which means "no process".
Incarnation randomIncarnation();

} // namespace Bluebellquay
