// Guards against a path that only works inside one process: real entries, agents and upstreams.
#include "process/caller.h"
#include "process/site.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t JobTasks = 60;

std::vector<std::string> callerAddresses(const Site &site)
{
    return {site.callerAddress(0), site.callerAddress(1)};
}

} // namespace

TEST_CASE("Requests and jobs are answered whole, each task started once", "[process]")
{
    Site site({});
    site.startAll();
    Caller caller(callerAddresses(site));

    const std::string request = caller.reserveId();
    CHECK(isWholeAnswer(
        caller.submitUntilFinal(request, makeJob("maras", "confirm_buyer", 1, 20ms, "r"), 60s), 1,
        "r"));

    const std::string id = caller.reserveId();
    const bluebellquay::v1::Job job = makeJob("maras", "tally_weighing", JobTasks, 20ms, "j");
    const bluebellquay::v1::SubmissionResponse first = caller.submitUntilFinal(id, job);
    CHECK(isWholeAnswer(first, JobTasks, "j"));

    SECTION("each finished task is in the histogram of run times")
    {
        double finished = 0;
        for (unsigned i = 0; i < site.layout().agents; ++i)
            finished += site.metric(site.agentAdminAddress(i), "bluebellquay_run_seconds_count");
        CHECK(finished == JobTasks + 1);
    }
    SECTION("a repeat through another entry gets the same answer and starts nothing")
    {
        const auto before = site.startCounts();
        CHECK(caller.submitUntilFinal(id, job).SerializeAsString() == first.SerializeAsString());
        CHECK(site.startCounts() == before);
        for (const auto &[task, starts] : before)
            CHECK(starts == 1);
        CHECK(before.size() == JobTasks + 1);
    }
    SECTION("another body under the same id is rejected")
    {
        bluebellquay::v1::SubmitRequest other;
        other.set_id(id);
        *other.mutable_job() = makeJob("maras", "tally_weighing", JobTasks, 21ms, "j");
        const auto result = caller.call<bluebellquay::v1::SubmissionResponse>(0, "Submit", other);
        const auto *error = std::get_if<ConnectError>(&result);
        REQUIRE(error != nullptr);
        CHECK(error->code == ConnectCode::AlreadyExists);
    }
    SECTION("every process stops gracefully on SIGTERM")
    {
        for (unsigned i = 0; i < site.layout().agents; ++i) {
            site.upstream(i).signal(SIGTERM);
            CHECK(site.upstream(i).wait(60s) == 0);
        }
        for (unsigned i = 0; i < site.layout().agents; ++i) {
            site.agent(i).signal(SIGTERM);
            CHECK(site.agent(i).wait(60s) == 0);
        }
        for (unsigned i = 0; i < site.layout().entries; ++i) {
            site.entry(i).signal(SIGTERM);
            CHECK(site.entry(i).wait(60s) == 0);
        }
    }
}
