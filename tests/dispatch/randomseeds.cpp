#include "dispatch/randomseeds.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace Bluebellquay::Testing {

namespace {

struct SeedRange
{
    std::uint64_t first = 1;
    std::uint64_t last = 0;
};

SeedRange rangeOf(std::uint64_t count)
{
    if (const char *only = std::getenv("BLUEBELLQUAY_DISPATCH_SEED")) {
        const std::uint64_t seed = std::strtoull(only, nullptr, 10);
        return {seed, seed};
    }
    if (const char *more = std::getenv("BLUEBELLQUAY_DISPATCH_SEEDS"))
        return {1, std::max<std::uint64_t>(count, std::strtoull(more, nullptr, 10))};
    return {1, count};
}

} // namespace

std::vector<BrokenSeed> brokenSeeds(std::uint64_t count, const SeededPlay &play)
{
    const SeedRange range = rangeOf(count);
    std::atomic<std::uint64_t> next{range.first};
    std::mutex mutex;
    std::vector<BrokenSeed> broken;
    const auto playSeeds = [&] {
        for (std::uint64_t seed = next++; seed <= range.last; seed = next++) {
            const std::vector<std::string> found = play(seed);
            if (found.empty())
                continue;
            const std::lock_guard lock(mutex);
            broken.push_back({seed, found.front()});
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i)
        threads.emplace_back(playSeeds);
    for (std::thread &thread : threads)
        thread.join();
    std::sort(broken.begin(), broken.end(),
              [](const BrokenSeed &a, const BrokenSeed &b) { return a.seed < b.seed; });
    return broken;
}

std::string describe(const std::vector<BrokenSeed> &broken)
{
    std::string text;
    for (const BrokenSeed &seed : broken)
        text += "seed " + std::to_string(seed.seed) + ": " + seed.violation + "\n";
    return text;
}

} // namespace Bluebellquay::Testing
