// Guards against an agent that takes a home for back because of a new link alone: the stops that
// the home has sent on the earlier one may be lost.
#include "membership/homepresence.h"
#include "net/testloop.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;

namespace {

constexpr Duration Grace{20'000};

class PresenceFixture
{
public:
    static ProcessInfo home(std::uint64_t incarnation)
    {
        ProcessInfo info;
        info.incarnation = Incarnation(incarnation);
        info.name = "edge-1";
        return info;
    }
    // Whether a sign of life from the link counts.
    bool countsAlive(Incarnation home)
    {
        const std::size_t before = alive.size();
        presence.linkAlive(home, timers.now());
        return alive.size() > before;
    }

    boost::asio::io_context context;
    TimerService timers{context};
    std::vector<Incarnation> known;
    std::vector<Incarnation> alive;
    std::vector<Incarnation> givenUp;
    HomePresence presence{timers,
                          Grace,
                          {[this](Incarnation home) { known.push_back(home); },
                           [this](Incarnation home, TimePoint) { alive.push_back(home); },
                           [this](Incarnation home) { givenUp.push_back(home); }}};
};

} // namespace

TEST_CASE_METHOD(PresenceFixture, "a home is back when it has asked for its runs on a new link")
{
    presence.linkUp(home(1));
    CHECK(countsAlive(Incarnation(1)));
    presence.linkDown(Incarnation(1));
    presence.linkUp(home(1));
    CHECK_FALSE(countsAlive(Incarnation(1)));
    presence.asked(Incarnation(1));
    CHECK(countsAlive(Incarnation(1)));
    context.run_for(2 * Grace);
    CHECK(givenUp.empty());
}

TEST_CASE_METHOD(PresenceFixture, "a home that does not ask on its new link is given up")
{
    presence.linkUp(home(1));
    presence.linkDown(Incarnation(1));
    presence.linkUp(home(1));
    // The grace counts from the end of the first link.
    presence.linkDown(Incarnation(1));
    presence.linkUp(home(1));
    REQUIRE(runUntil(context, [this] { return !givenUp.empty(); }));
    CHECK(known.size() == 4);
    CHECK(countsAlive(Incarnation(1)));
    presence.linkDown(Incarnation(1));
    REQUIRE(runUntil(context, [this] { return givenUp.size() == 2; }));
    CHECK_FALSE(presence.knows(Incarnation(1)));
}

TEST_CASE_METHOD(PresenceFixture, "the next incarnation of a home takes its place at once")
{
    presence.linkUp(home(1));
    presence.linkUp(home(2));
    CHECK(givenUp == std::vector{Incarnation(1)});
    CHECK(presence.nameOf(Incarnation(1)).empty());
    CHECK(presence.nameOf(Incarnation(2)) == "edge-1");
}
