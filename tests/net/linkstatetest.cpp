// Guards against a link that is used before the peer has introduced itself or after its end, and
// against redials that come too early or too late.
#include "net/linkstate.h"
#include "net/redialdelay.h"

#include <boost/core/ref.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <trompeloeil.hpp>

using namespace Bluebellquay;
using trompeloeil::sequence;

namespace {

class MockActions : public LinkActions
{
public:
    MAKE_MOCK0(sendHello, void(), override);
    MAKE_MOCK0(announce, void(), override);
    MAKE_MOCK1(startClosing, void(LinkEnd), override);
    MAKE_MOCK1(finish, void(LinkEnd), override);
};

struct Machine
{
    Machine()
        : state(boost::ref(static_cast<LinkActions &>(actions)))
    {
        state.start();
    }

    MockActions actions;
    LinkState state;
};

} // namespace

TEST_CASE("A link goes from hello to its planned end", "[net]")
{
    Machine machine;
    sequence order;
    REQUIRE_CALL(machine.actions, sendHello()).IN_SEQUENCE(order);
    REQUIRE_CALL(machine.actions, announce()).IN_SEQUENCE(order);
    REQUIRE_CALL(machine.actions, startClosing(LinkEnd::Stopping)).IN_SEQUENCE(order);
    REQUIRE_CALL(machine.actions, finish(LinkEnd::PeerClosed)).IN_SEQUENCE(order);
    machine.state.process_event(LinkEvents::HelloReceived()); // before the upgrade: ignored
    machine.state.process_event(LinkEvents::Opened());
    machine.state.process_event(LinkEvents::HelloReceived());
    machine.state.process_event(LinkEvents::StopRequested{LinkEnd::Stopping});
    machine.state.process_event(LinkEvents::StopRequested{LinkEnd::Forgotten});
    machine.state.process_event(LinkEvents::Failed{LinkEnd::PeerClosed});
    machine.state.process_event(LinkEvents::Failed{LinkEnd::Lost});
    machine.state.process_event(LinkEvents::Opened());
    machine.state.process_event(LinkEvents::HelloReceived());
}

TEST_CASE("A link that is stopped before it is up ends at once", "[net]")
{
    const bool opened = GENERATE(false, true);
    Machine machine;
    ALLOW_CALL(machine.actions, sendHello());
    REQUIRE_CALL(machine.actions, finish(LinkEnd::Stopping));
    if (opened)
        machine.state.process_event(LinkEvents::Opened());
    machine.state.process_event(LinkEvents::StopRequested{LinkEnd::Stopping});
}

TEST_CASE("A failure that an action causes is handled after the action", "[net]")
{
    Machine machine;
    sequence order;
    ALLOW_CALL(machine.actions, sendHello());
    REQUIRE_CALL(machine.actions, announce())
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(machine.state.process_event(LinkEvents::Failed{LinkEnd::Duplicate}));
    REQUIRE_CALL(machine.actions, finish(LinkEnd::Duplicate)).IN_SEQUENCE(order);
    machine.state.process_event(LinkEvents::Opened());
    machine.state.process_event(LinkEvents::HelloReceived());
}

TEST_CASE("Redial delays double with jitter up to their maximum", "[net]")
{
    CHECK(rc::check("each delay is between half a step and a step", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const Duration minimum(*rc::gen::inRange<Duration::rep>(1, 1'000'000));
        const Duration maximum = minimum * *rc::gen::inRange<Duration::rep>(1, 100);
        RedialDelay delay(minimum, maximum);
        Duration step = minimum;
        for (int i = 0; i < 10; ++i) {
            const Duration next = delay.next(random);
            RC_ASSERT(next >= Duration(step.count() / 2));
            RC_ASSERT(next <= step);
            step = std::min(step * 2, maximum);
        }
        delay.reset();
        RC_ASSERT(delay.next(random) <= minimum);
    }));
}
