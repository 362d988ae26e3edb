// Plays the soak with a fixed seed. More seeds, and larger sites, by hand:
//   BLUEBELLQUAY_SOAK_SEEDS="1 2 3" BLUEBELLQUAY_SOAK_SECONDS=20 build/release/tests/soak/test_soak
//   BLUEBELLQUAY_SOAK_FAULTS="slow-workers short-breaks" BLUEBELLQUAY_SOAK_KEEP=/tmp/kept ...
//   BLUEBELLQUAY_SOAK_ENTRIES=13 BLUEBELLQUAY_SOAK_AGENTS=74 BLUEBELLQUAY_SOAK_JOB_GAP_MS=5 ...
#include "config/temporaryfile.h"
#include "soak/platformsoak.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <sstream>
#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;

namespace {

std::vector<std::uint64_t> seeds()
{
    const char *text = std::getenv("BLUEBELLQUAY_SOAK_SEEDS");
    std::istringstream words(text != nullptr ? text : "1 2");
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

// All of them unless some are named.
std::set<SoakFault> faults()
{
    const char *text = std::getenv("BLUEBELLQUAY_SOAK_FAULTS");
    std::istringstream words(text != nullptr ? text : "");
    std::set<std::string> named;
    for (std::string word; words >> word;)
        named.insert(word);
    const bool all = named.empty();
    std::set<SoakFault> found;
    for (std::size_t kind = 0; kind < SoakFaultNames.size(); ++kind) {
        if (all || named.erase(std::string(SoakFaultNames[kind])) > 0)
            found.insert(static_cast<SoakFault>(kind));
    }
    if (!named.empty())
        FAIL_CHECK("unknown fault: " << *named.begin());
    return found;
}

// Keeps the logs of a run that broke a promise, if a folder for them is named.
void keepLogs(const SoakSettings &settings)
{
    const char *kept = std::getenv("BLUEBELLQUAY_SOAK_KEEP");
    if (kept == nullptr)
        return;
    const auto target = std::filesystem::path(kept) / ("seed-" + std::to_string(settings.seed));
    std::filesystem::create_directories(target);
    std::filesystem::copy(settings.folder, target,
                          std::filesystem::copy_options::recursive
                              | std::filesystem::copy_options::overwrite_existing);
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
    settings.faults = faults();
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
        if (!report.violations.empty())
            keepLogs(settings);
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
