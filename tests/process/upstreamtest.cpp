// Guards against losing work that a dying upstream never received, and against new work for one
// that leaves.
#include "process/caller.h"
#include "process/site.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

TEST_CASE("Requests submitted while the upstream is down run on the next one", "[process]")
{
    SiteLayout layout;
    layout.entries = 1;
    layout.agents = 1;
    Site site(layout);
    site.startAll();
    Caller caller({site.callerAddress(0)});
    for (int round = 0; round < 5; ++round) {
        const std::string label = "round-" + std::to_string(round);
        const std::string id = caller.reserveId();
        site.upstream(0).kill();
        bluebellquay::v1::SubmitRequest request;
        request.set_id(id);
        *request.mutable_job() = makeJob("maras", "confirm_buyer", 6, 1ms, label);
        request.set_detach(true);
        caller.call<bluebellquay::v1::SubmissionResponse>(0, "Submit", request);
        site.startUpstream(0);
        const auto answer = caller.submitUntilFinal(id, request.job());
        INFO(answer.ShortDebugString());
        CHECK(isWholeAnswer(answer, 6, label));
    }
    for (const auto &[task, starts] : site.startCounts())
        CHECK(starts == 1);
}

TEST_CASE("A leaving upstream finishes what runs and gets nothing new", "[process]")
{
    SiteLayout layout;
    layout.entries = 1;
    layout.agents = 2;
    Site site(layout);
    site.startAll();
    Caller caller({site.callerAddress(0)});
    const std::string id = caller.reserveId();
    bluebellquay::v1::SubmitRequest request;
    request.set_id(id);
    *request.mutable_job() = makeJob("maras", "tally_weighing", 200, 50ms, "leave");
    request.set_detach(true);
    caller.call<bluebellquay::v1::SubmissionResponse>(0, "Submit", request);
    site.waitFor("upstream 0 runs tasks", [&] { return !site.startCounts(0).empty(); });

    site.upstream(0).signal(SIGTERM);
    CHECK(site.upstream(0).wait(60s) == 0);
    const auto startsOfLeft = site.startCounts(0);
    CHECK(isWholeAnswer(caller.submitUntilFinal(id, request.job()), 200, "leave"));
    CHECK(site.startCounts(0) == startsOfLeft);
}
