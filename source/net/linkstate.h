// Life of one link as a Boost.MSM state machine:
//
//   Connecting --Opened--> Greeting --HelloReceived--> Up --StopRequested--> Draining --> Ended
//
// Every state goes to Ended on Failed, and all but Up do on StopRequested. Ended is final: whatever
// comes later is ignored. Events that an action causes are processed after that action.
#pragma once

#include "net/linkend.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Bluebellquay {

// What the state machine does to its link.
class LinkActions
{
public:
    LinkActions() = default;
    virtual ~LinkActions() = default;
    LinkActions(const LinkActions &) = delete;
    LinkActions &operator=(const LinkActions &) = delete;

    // The connection is open: introduce this process.
    virtual void sendHello() = 0;
    // The peer has introduced itself: messages may flow.
    virtual void announce() = 0;
    // Sends what is queued and starts the closing handshake.
    virtual void startClosing(LinkEnd reason) = 0;
    // Releases the connection; the last action.
    virtual void finish(LinkEnd reason) = 0;
};

namespace LinkEvents {

// The upgrade has succeeded.
struct Opened
{ };
// A valid Hello came as the first message.
struct HelloReceived
{ };
// The link is to end after what is queued has been sent.
struct StopRequested
{
    LinkEnd reason;
};
// The connection is gone or unusable, or no longer wanted.
struct Failed
{
    LinkEnd reason;
};

} // namespace LinkEvents

// Front end of the machine; use LinkState.
class LinkStateDef : public boost::msm::front::state_machine_def<LinkStateDef>
{
    struct SendHello
    {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event &, Machine &machine, From &, To &)
        {
            machine.m_actions.sendHello();
        }
    };
    struct Announce
    {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event &, Machine &machine, From &, To &)
        {
            machine.m_actions.announce();
        }
    };
    struct StartClosing
    {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event &event, Machine &machine, From &, To &)
        {
            machine.m_actions.startClosing(event.reason);
        }
    };
    struct Finish
    {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event &event, Machine &machine, From &, To &)
        {
            machine.m_actions.finish(event.reason);
        }
    };
    template <typename From, typename Event, typename To, typename Action>
    using Row = boost::msm::front::Row<From, Event, To, Action, boost::msm::front::none>;

public:
    explicit LinkStateDef(LinkActions &actions)
        : m_actions(actions)
    { }

    struct Connecting : boost::msm::front::state<>
    { };
    struct Greeting : boost::msm::front::state<>
    { };
    struct Up : boost::msm::front::state<>
    { };
    struct Draining : boost::msm::front::state<>
    { };
    struct Ended : boost::msm::front::state<>
    { };

    // The names of these types and functions are those that Boost.MSM asks for.
    // NOLINTBEGIN(readability-identifier-naming)
    using initial_state = Connecting;
    struct transition_table
        : boost::mpl::vector<Row<Connecting, LinkEvents::Opened, Greeting, SendHello>,
                             Row<Connecting, LinkEvents::StopRequested, Ended, Finish>,
                             Row<Connecting, LinkEvents::Failed, Ended, Finish>,
                             Row<Greeting, LinkEvents::HelloReceived, Up, Announce>,
                             Row<Greeting, LinkEvents::StopRequested, Ended, Finish>,
                             Row<Greeting, LinkEvents::Failed, Ended, Finish>,
                             Row<Up, LinkEvents::StopRequested, Draining, StartClosing>,
                             Row<Up, LinkEvents::Failed, Ended, Finish>,
                             Row<Draining, LinkEvents::Failed, Ended, Finish>>
    { };
    // NOLINTEND(readability-identifier-naming)

    // An event that the present state does not expect is ignored, for example a second stop.
    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    { }

private:
    LinkActions &m_actions;
};

using LinkState = boost::msm::back::state_machine<LinkStateDef>;

} // namespace Bluebellquay
