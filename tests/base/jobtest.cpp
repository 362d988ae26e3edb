// Guards against different jobs with equal digests: a repeated id with another body would then be
// accepted as the same submission.
#include "base/job.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;

namespace {

Job sampleJob()
{
    Job job;
    job.branch = "hinokuni";
    job.customer = "fitters";
    job.team = "day";
    job.kind = "fetch_sheet";
    job.tasks = {TaskSpec{"ab", Duration(1000)}, TaskSpec{"c", Duration(0)}};
    return job;
}

} // namespace

TEST_CASE("Equal jobs have equal digests", "[base]")
{
    CHECK(digestOf(sampleJob()) == digestOf(sampleJob()));
}

TEST_CASE("Each field of a job counts in its digest", "[base]")
{
    const JobDigest original = digestOf(sampleJob());
    const auto changed = [&](auto change) {
        Job job = sampleJob();
        change(job);
        return digestOf(job) != original;
    };
    CHECK(changed([](Job &job) { job.branch = "maras"; }));
    CHECK(changed([](Job &job) { job.customer = "yard"; }));
    CHECK(changed([](Job &job) { job.team = "night"; }));
    CHECK(changed([](Job &job) { job.kind = "checkout"; }));
    CHECK(changed([](Job &job) { job.need.milliProcessors = 1; }));
    CHECK(changed([](Job &job) { job.need.memoryBytes = 1; }));
    CHECK(changed([](Job &job) { job.need.accelerators = 1; }));
    CHECK(changed([](Job &job) { job.urgentRequested = true; }));
    CHECK(changed([](Job &job) { job.reference = "2:A3/7"; }));
    CHECK(changed([](Job &job) { job.tasks[0].declaredRunTime = Duration(1); }));
    CHECK(changed([](Job &job) { job.tasks.pop_back(); }));
    // The same bytes split differently over two tasks.
    CHECK(changed([](Job &job) {
        job.tasks[0].payload = "a";
        job.tasks[1].payload = "bc";
    }));
}
