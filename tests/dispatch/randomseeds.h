// Plays a random schedule under many seeds, on all processors. By hand, BLUEBELLQUAY_DISPATCH_SEEDS
// raises the number of seeds of each schedule, and BLUEBELLQUAY_DISPATCH_SEED plays a single one.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

// The violations that a schedule finds under a seed.
using SeededPlay = std::function<std::vector<std::string>(std::uint64_t seed)>;

struct BrokenSeed
{
    std::uint64_t seed = 0;
    std::string violation;
};

// The seeds from 1 to `count`, or as the environment says, under which the schedule finds a
// violation, in ascending order, each with its first violation.
std::vector<BrokenSeed> brokenSeeds(std::uint64_t count, const SeededPlay &play);

// One line a seed; empty if there is none.
std::string describe(const std::vector<BrokenSeed> &broken);

} // namespace Bluebellquay::Testing
