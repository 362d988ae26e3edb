// Guards against double starts, partial, crossed and untrue answers when real processes are killed
// and frozen and links are cut. The seed comes from BLUEBELLQUAY_CHAOS_SEED; bench.sh has the long
// run.
#include "process/chaosrun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace Bluebellquay::Testing;

TEST_CASE("Faults on real processes break no promise", "[process][chaos]")
{
    ChaosSettings settings;
    settings.faults = 40;
    if (const char *seed = std::getenv("BLUEBELLQUAY_CHAOS_SEED"))
        settings.seed = std::stoull(seed);
    const ChaosVerdict verdict = runChaos(settings);
    std::string findings;
    for (const std::string &finding : verdict.findings)
        findings += finding + "\n";
    INFO("seed " << settings.seed << "\n" << findings);
    CHECK(verdict.submissions > 0);
    CHECK(verdict.completed > 0);
    CHECK(verdict.doubleStarts == 0);
    CHECK(verdict.partialAnswers == 0);
    CHECK(verdict.falseNotRun == 0);
    CHECK(verdict.crossedAnswers == 0);
    CHECK(verdict.changedAnswers == 0);
}
