// Plays the soak with a fixed seed. More seeds, and larger sites, by hand:
//   BLUEBELLQUAY_SOAK_SEEDS="1 2 3" BLUEBELLQUAY_SOAK_SECONDS=20 build/release/tests/soak/test_soak
//   BLUEBELLQUAY_SOAK_ENTRIES=13 BLUEBELLQUAY_SOAK_AGENTS=74 BLUEBELLQUAY_SOAK_JOB_GAP_MS=5 ...
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

int numberFrom(const char *variable, int fallback)
{
    const char *text = std::getenv(variable);
    return text != nullptr ? std::atoi(text) : fallback;
}

SoakSettings settingsOf(std::uint64_t seed)
{
    SoakSettings settings;
    settings.seed = seed;
    settings.length = std::chrono::seconds(numberFrom("BLUEBELLQUAY_SOAK_SECONDS", 8));
    settings.entries = static_cast<std::size_t>(numberFrom("BLUEBELLQUAY_SOAK_ENTRIES", 2));
    settings.agents = static_cast<std::size_t>(numberFrom("BLUEBELLQUAY_SOAK_AGENTS", 3));
    settings.jobGap = std::chrono::milliseconds(numberFrom("BLUEBELLQUAY_SOAK_JOB_GAP_MS", 40));
    settings.faultGap =
        std::chrono::milliseconds(numberFrom("BLUEBELLQUAY_SOAK_FAULT_GAP_MS", 700));
    return settings;
}

} // namespace

TEST_CASE("random faults on real processes break no promise")
{
    for (const std::uint64_t seed : seeds()) {
        const TemporaryFolder folder;
        SoakSettings settings = settingsOf(seed);
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

TEST_CASE("real processes start nothing in an evacuated data centre")
{
    const TemporaryFolder folder;
    SoakSettings settings = settingsOf(1);
    settings.folder = folder.path();
    PlatformSoak soak(settings);
    const SoakReport report = soak.runEvacuation();
    for (const std::string &violation : report.violations)
        std::cout << "  " << violation << '\n';
    CHECK(report.violations.empty());
}
