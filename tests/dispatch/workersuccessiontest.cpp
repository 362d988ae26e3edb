// Tests which announcements WorkerSuccession takes, and when a life that has answered takes the
// place of the present one.
#include "core/workersuccession.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Born = 1'700'000'000'000;
constexpr PresentLifeState Busy{true, false};

WorkerProfile profileOf(std::string name, std::uint64_t startedAt,
                        std::string address = "10.0.0.1:80")
{
    WorkerProfile profile;
    profile.identity = {std::move(name), startedAt};
    profile.address = std::move(address);
    profile.service = "archive";
    return profile;
}

class SuccessionFixture
{
public:
    SuccessionFixture() { REQUIRE(succession.answered(present, 4, {})); }

    const WorkerProfile present = profileOf("i-1", Born);
    TimePoint now{1s};
    WorkerSuccession succession;
};

} // namespace

TEST_CASE_METHOD(SuccessionFixture, "an announcement of another life does not replace the present")
{
    for (const WorkerProfile &other :
         {profileOf("i-1", 2'000'000'000'000), profileOf("i-1", Born - 1), profileOf("i-2", Born)})
        CHECK(succession.announced(now, other, 90) == AnnouncementVerdict::Probe);
    CHECK(succession.announced(now, present, 5) == AnnouncementVerdict::Update);
    CHECK(succession.announced(now, present, 4) == AnnouncementVerdict::Late);
    CHECK(succession.present()->identity == present.identity);
}

TEST_CASE("the first announced life is not present before it answers")
{
    WorkerSuccession succession;
    CHECK(succession.announced(TimePoint(1s), profileOf("i-1", Born), 1)
          == AnnouncementVerdict::Probe);
    CHECK(succession.present() == nullptr);
}

TEST_CASE_METHOD(SuccessionFixture,
                 "a life that answers under the name or address of the present "
                 "one takes its place, also with an earlier start")
{
    const auto next = GENERATE(profileOf("i-1", Born - 1, "10.0.0.1:90"),
                               profileOf("i-2", Born - 1, "10.0.0.1:80"));
    CHECK(succession.answered(next, 1, Busy));
    CHECK(succession.present()->identity == next.identity);
}

TEST_CASE_METHOD(
    SuccessionFixture,
    "another worker takes the place of one whose runs may be alive when its leases end")
{
    const WorkerProfile next = profileOf("i-2", Born + 1, "10.0.0.1:90");
    CHECK_FALSE(succession.answered(next, 1, Busy));
    CHECK(succession.isPresent("i-1"));
    const bool leasesOver = GENERATE(true, false);
    CHECK(succession.answered(next, 1, {leasesOver, leasesOver}));
    CHECK(succession.isPresent("i-2"));
}

TEST_CASE_METHOD(SuccessionFixture,
                 "a contradiction of the present life counts when it is said twice in a row")
{
    WorkerProfile odd = present;
    odd.service = "another";
    CHECK(succession.announced(now, odd, 1'000'000) == AnnouncementVerdict::Contradicts);
    // A sequence number that is not the worker's own makes none of its announcements late.
    CHECK(succession.announced(now, present, 5) == AnnouncementVerdict::Update);
    CHECK(succession.announced(now, odd, 1'000'000) == AnnouncementVerdict::Contradicts);
    CHECK(succession.announced(now, odd, 1'000'001) == AnnouncementVerdict::Probe);
}

// Guards against a worker that takes no orders any more: all its own announcements counted as late
// after another writer's with a number far ahead.
TEST_CASE_METHOD(SuccessionFixture, "a number far ahead makes one announcement of the worker late")
{
    WorkerProfile odd = present;
    odd.draining = true;
    CHECK(succession.announced(now, odd, 1'000'000'000) == AnnouncementVerdict::Update);
    CHECK(succession.announced(now + 1s, present, 5) == AnnouncementVerdict::Late);
    CHECK(succession.announced(now + 2s, present, 6) == AnnouncementVerdict::Update);
    CHECK_FALSE(succession.present()->draining);
}

TEST_CASE_METHOD(SuccessionFixture, "announcements that were held back together count as late")
{
    WorkerProfile draining = present;
    draining.draining = true;
    CHECK(succession.announced(now, draining, 9) == AnnouncementVerdict::Update);
    CHECK(succession.announced(now, present, 6) == AnnouncementVerdict::Late);
    CHECK(succession.announced(now, present, 7) == AnnouncementVerdict::Late);
    CHECK(succession.announced(now + 1s, draining, 10) == AnnouncementVerdict::Update);
    CHECK(succession.announced(now + 2s, present, 8) == AnnouncementVerdict::Late);
    CHECK(succession.present()->draining);
}
