// Life cycle of a submission at its home, as a state machine. It is small and has no message queue,
// because one exists for each submission without a final answer.
#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <cstdint>

namespace Bluebellquay {

namespace LifecycleEvent {
// A task was bound to an agent.
struct TaskBound
{ };
// The last bound task was reported as not started, and none was started before.
struct AllReleased
{ };
// The caller cancels, but tasks may have been started already.
struct CancelRequested
{ };
// The final answer was stored.
struct AnswerStored
{ };
} // namespace LifecycleEvent

struct LifecycleMachine : boost::msm::front::state_machine_def<LifecycleMachine>
{
    // Events are never raised from within a transition.
    using no_message_queue = int;
    using no_exception_thrown = int;

    // No task can have been started.
    struct Queued : boost::msm::front::state<>
    { };
    // Tasks may have been started.
    struct Executing : boost::msm::front::state<>
    { };
    // Tasks may have been started, and no further one is bound.
    struct Cancelling : boost::msm::front::state<>
    { };
    struct Answered : boost::msm::front::state<>
    { };
    using initial_state = Queued;

    template <typename Source, typename Event, typename Target>
    using Transition = boost::msm::front::Row<Source, Event, Target>;
    struct transition_table // NOLINT(readability-identifier-naming): name required by Boost.MSM
        : boost::mpl::vector<Transition<Queued, LifecycleEvent::TaskBound, Executing>,
                             Transition<Queued, LifecycleEvent::AnswerStored, Answered>,
                             Transition<Executing, LifecycleEvent::AllReleased, Queued>,
                             Transition<Executing, LifecycleEvent::CancelRequested, Cancelling>,
                             Transition<Executing, LifecycleEvent::AnswerStored, Answered>,
                             Transition<Cancelling, LifecycleEvent::AnswerStored, Answered>>
    { };

    // Events that change nothing in a state, such as a second bound task, are ignored.
    template <typename Fsm, typename Event>
    void no_transition(const Event & /*event*/, Fsm & /*fsm*/, int /*state*/)
    { }
};

class SubmissionLifecycle
{
public:
    // The numbers follow the order in which the transition table names the states.
    enum class State : std::uint8_t { Queued = 0, Executing = 1, Cancelling = 2, Answered = 3 };

    SubmissionLifecycle() { m_machine.start(); }

    template <typename Event>
    void process(const Event &event)
    {
        m_machine.process_event(event);
    }
    State state() const { return static_cast<State>(m_machine.current_state()[0]); }

private:
    boost::msm::back::state_machine<LifecycleMachine> m_machine;
};

} // namespace Bluebellquay
