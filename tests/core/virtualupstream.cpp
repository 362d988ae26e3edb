#include "core/virtualupstream.h"

#include "core/siteauditor.h"

namespace Bluebellquay {

void VirtualUpstream::start(VirtualClock &clock, const StartTask &task, const TaskPlan &plan,
                            Ended ended)
{
    const std::uint64_t number = ++m_starts;
    m_running[task.task] = Run{number, std::move(ended)};
    TaskOutcome outcome;
    outcome.succeeded = plan.succeeds;
    outcome.runTime = plan.runTime;
    if (plan.succeeds)
        outcome.output = SiteAuditor::outputOf(task.payload);
    else
        outcome.error = "failed as planned";
    clock.at(clock.now() + plan.runTime,
             [this, key = task.task, number, outcome] { end(key, number, outcome); });
}

void VirtualUpstream::end(const TaskKey &key, std::uint64_t number, const TaskOutcome &outcome)
{
    const auto position = m_running.find(key);
    if (position == m_running.end() || position->second.number != number)
        return;
    const Ended ended = std::move(position->second.ended);
    m_running.erase(position);
    ended(key, outcome);
}

void VirtualUpstream::stop(const TaskKey &key)
{
    const auto position = m_running.find(key);
    if (position != m_running.end())
        end(key, position->second.number, TaskOutcome{false, {}, "stopped", {}});
}

std::vector<TaskKey> VirtualUpstream::restart()
{
    ++m_incarnation;
    std::vector<TaskKey> lost;
    for (const auto &[key, run] : m_running)
        lost.push_back(key);
    m_running.clear();
    return lost;
}

} // namespace Bluebellquay
