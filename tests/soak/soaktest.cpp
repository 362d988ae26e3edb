// Plays the soak with a fixed seed. More seeds by hand:
//   BLUEBELLQUAY_SOAK_SEEDS="1 2 3" BLUEBELLQUAY_SOAK_SECONDS=20 build/release/tests/soak/test_soak
#include "config/temporaryfile.h"
#include "soak/platformsoak.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;

namespace {

std::vector<std::uint64_t> seeds()
{
    const char *text = std::getenv("BLUEBELLQUAY_SOAK_SEEDS");
    std::istringstream words(text != nullptr ? text : "1");
    std::vector<std::uint64_t> found;
    for (std::uint64_t seed = 0; words >> seed;)
        found.push_back(seed);
    return found;
}

Duration length()
{
    const char *text = std::getenv("BLUEBELLQUAY_SOAK_SECONDS");
    return std::chrono::seconds(text != nullptr ? std::atoi(text) : 8);
}

} // namespace

TEST_CASE("random faults on real processes break no promise")
{
    for (const std::uint64_t seed : seeds()) {
        const TemporaryFolder folder;
        SoakSettings settings;
        settings.seed = seed;
        settings.length = length();
        settings.folder = folder.path();
        PlatformSoak soak(settings);
        const SoakReport report = soak.run();
        std::cout << "soak seed " << seed << ": " << report.jobs << " jobs, " << report.completed
                  << " completed, " << report.refused << " refused, " << report.starts
                  << " starts, " << report.faults << " faults, " << report.violations.size()
                  << " violations\n";
        for (const std::string &violation : report.violations)
            std::cout << "  " << violation << '\n';
        CHECK(report.violations.empty());
        CHECK(report.completed > 0);
    }
}
