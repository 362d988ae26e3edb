// The tasks of one submission at its home: which are unbound, which are bound to which pull of
// which agent, and the outputs of those that succeeded.
#pragma once

#include "base/messages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Bluebellquay {

class TaskBindings
{
public:
    // A task with the number of its binding. The binding number is the attempt of the task's key,
    // so a key names exactly one binding.
    struct Assignment
    {
        TaskIndex index;
        TaskAttempt attempt;
    };
    // Stored answer to a pull.
    struct PullAnswer
    {
        Incarnation agent;
        PullNumber pull;
        std::vector<Assignment> tasks;
        std::uint32_t remaining = 0;
    };

    explicit TaskBindings(const std::vector<TaskSpec> &tasks);

    // Binds up to max unbound tasks, longest declared run time first, then lowest index first: a
    // long task that starts last would end the job late. The same pull always gets the same answer.
    const PullAnswer &bind(Incarnation agent, PullNumber pull, std::uint32_t max);
    // Null if the pull has not been answered.
    const PullAnswer *findAnswer(Incarnation agent, PullNumber pull) const;

    // True if this very binding is in force.
    bool isBound(const TaskKey &key, Incarnation agent) const;
    // True if the key names a binding of a task that has not succeeded, now or earlier.
    bool awaitsResult(const TaskKey &key) const;
    // The agent reported that a bound task was not started: it is unbound again.
    void release(TaskIndex index);
    // A bound task failed or is lost; it stays without a binding until requeue().
    void giveUpAttempt(TaskIndex index);
    // Offers a task for a further attempt.
    void requeue(TaskIndex index);
    void succeed(TaskIndex index, std::string output);

    std::uint32_t tasks() const { return static_cast<std::uint32_t>(m_bindings.size()); }
    std::uint32_t unbound() const { return static_cast<std::uint32_t>(m_unbound.size()); }
    std::uint32_t bound() const { return m_bound; }
    std::uint32_t succeeded() const { return m_succeeded; }
    // Attempts that were or may have been started and did not succeed.
    std::uint32_t spentAttempts(TaskIndex index) const;
    // False if no task was, is or will be started under a binding made so far.
    bool mayHaveStarted() const { return m_bound > 0 || m_succeeded > 0 || m_spent > 0; }
    bool complete() const { return m_succeeded == m_bindings.size(); }

    // Keys of all tasks that are bound to the agent.
    std::vector<TaskKey> boundTo(Incarnation agent, const SubmissionId &id) const;
    // Agents with bound tasks, each once.
    std::vector<Incarnation> boundAgents() const;
    // Moves the outputs out; only if complete().
    std::vector<std::string> takeOutputs();

private:
    enum class Phase : std::uint8_t { Unbound, Bound, GivenUp, Succeeded };
    struct Binding
    {
        // Meaningful only while bound.
        Incarnation agent;
        // Number of bindings so far; the current or last binding has this number.
        std::uint32_t attempt = 0;
        // Bindings whose task was or may have been started without success.
        std::uint16_t spent = 0;
        Phase phase = Phase::Unbound;
    };

    std::vector<Binding> m_bindings;
    // Indices in phase Unbound; the next one to bind is last.
    std::vector<std::uint32_t> m_unbound;
    std::vector<std::string> m_outputs;
    // Answers are never changed or removed (invariant H5).
    std::vector<PullAnswer> m_answers;
    std::uint32_t m_bound = 0;
    std::uint32_t m_succeeded = 0;
    std::uint32_t m_spent = 0;
};

} // namespace Bluebellquay
