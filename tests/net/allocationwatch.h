// Largest single allocation of the test program since the last reset, in bytes.
#pragma once

#include <cstddef>

namespace Bluebellquay::Testing {

void resetLargestAllocation();
std::size_t largestAllocation();

} // namespace Bluebellquay::Testing
