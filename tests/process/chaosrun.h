// One seeded run of faults on real processes under load.
#pragma once

#include "process/chaosjudge.h"

#include <cstdint>

namespace Bluebellquay::Testing {

struct ChaosSettings
{
    std::uint64_t seed = 1;
    unsigned faults = 220;
    unsigned agents = 5;
    unsigned callers = 12;
};

// Throws std::runtime_error if the site can't be started or does not recover after the faults.
ChaosVerdict runChaos(const ChaosSettings &settings);

} // namespace Bluebellquay::Testing
