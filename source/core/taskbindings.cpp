#include "core/taskbindings.h"

#include <algorithm>

namespace Bluebellquay {

TaskBindings::TaskBindings(const std::vector<TaskSpec> &tasks)
    : m_bindings(tasks.size())
    , m_outputs(tasks.size())
{
    m_unbound.reserve(tasks.size());
    for (auto i = static_cast<std::uint32_t>(tasks.size()); i > 0; --i)
        m_unbound.push_back(i - 1);
    std::stable_sort(m_unbound.begin(), m_unbound.end(), [&](std::uint32_t a, std::uint32_t b) {
        return tasks[a].declaredRunTime < tasks[b].declaredRunTime;
    });
}

const TaskBindings::PullAnswer &TaskBindings::bind(Incarnation agent, PullNumber pull,
                                                   std::uint32_t max)
{
    if (const PullAnswer *stored = findAnswer(agent, pull))
        return *stored;
    PullAnswer answer{agent, pull, {}, 0};
    while (answer.tasks.size() < max && !m_unbound.empty()) {
        const std::uint32_t index = m_unbound.back();
        m_unbound.pop_back();
        Binding &binding = m_bindings[index];
        binding.agent = agent;
        ++binding.attempt;
        binding.phase = Phase::Bound;
        ++m_bound;
        answer.tasks.push_back({TaskIndex(index), TaskAttempt(binding.attempt)});
    }
    answer.remaining = unbound();
    m_answers.push_back(std::move(answer));
    return m_answers.back();
}

const TaskBindings::PullAnswer *TaskBindings::findAnswer(Incarnation agent, PullNumber pull) const
{
    // A repeated pull asks for a recent answer.
    const auto position =
        std::find_if(m_answers.rbegin(), m_answers.rend(), [&](const PullAnswer &answer) {
            return answer.pull == pull && answer.agent == agent;
        });
    return position == m_answers.rend() ? nullptr : &*position;
}

bool TaskBindings::isBound(const TaskKey &key, Incarnation agent) const
{
    if (key.index.value() >= m_bindings.size())
        return false;
    const Binding &binding = m_bindings[key.index.value()];
    return binding.phase == Phase::Bound && binding.agent == agent
        && binding.attempt == key.attempt.value();
}

bool TaskBindings::awaitsResult(const TaskKey &key) const
{
    if (key.index.value() >= m_bindings.size())
        return false;
    const Binding &binding = m_bindings[key.index.value()];
    return binding.phase != Phase::Succeeded && key.attempt.value() > 0
        && key.attempt.value() <= binding.attempt;
}

void TaskBindings::release(TaskIndex index)
{
    Binding &binding = m_bindings[index.value()];
    binding.phase = Phase::Unbound;
    --m_bound;
    m_unbound.push_back(index.value());
}

void TaskBindings::giveUpAttempt(TaskIndex index)
{
    Binding &binding = m_bindings[index.value()];
    binding.phase = Phase::GivenUp;
    ++binding.spent;
    --m_bound;
    ++m_spent;
}

void TaskBindings::requeue(TaskIndex index)
{
    Binding &binding = m_bindings[index.value()];
    if (binding.phase != Phase::GivenUp)
        return;
    binding.phase = Phase::Unbound;
    m_unbound.push_back(index.value());
}

void TaskBindings::succeed(TaskIndex index, std::string output)
{
    Binding &binding = m_bindings[index.value()];
    if (binding.phase == Phase::Succeeded)
        return;
    if (binding.phase == Phase::Bound)
        --m_bound;
    if (binding.phase == Phase::Unbound)
        std::erase(m_unbound, index.value());
    binding.phase = Phase::Succeeded;
    ++m_succeeded;
    m_outputs[index.value()] = std::move(output);
}

std::uint32_t TaskBindings::spentAttempts(TaskIndex index) const
{
    return m_bindings[index.value()].spent;
}

std::vector<TaskKey> TaskBindings::boundTo(Incarnation agent, const SubmissionId &id) const
{
    std::vector<TaskKey> keys;
    for (std::uint32_t i = 0; i < m_bindings.size(); ++i) {
        if (m_bindings[i].phase == Phase::Bound && m_bindings[i].agent == agent)
            keys.push_back(TaskKey{id, TaskIndex(i), TaskAttempt(m_bindings[i].attempt)});
    }
    return keys;
}

std::vector<Incarnation> TaskBindings::boundAgents() const
{
    std::vector<Incarnation> agents;
    for (const Binding &binding : m_bindings) {
        if (binding.phase == Phase::Bound)
            agents.push_back(binding.agent);
    }
    std::sort(agents.begin(), agents.end());
    agents.erase(std::unique(agents.begin(), agents.end()), agents.end());
    return agents;
}

std::vector<std::string> TaskBindings::takeOutputs()
{
    return std::move(m_outputs);
}

} // namespace Bluebellquay
