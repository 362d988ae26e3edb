// A simulated upstream: starts whatever it is given and ends it after its planned run time.
#pragma once

#include "core/outbox.h"
#include "core/virtualclock.h"

#include <functional>
#include <unordered_map>

namespace Bluebellquay {

// What an upstream does with a task.
struct TaskPlan
{
    Duration runTime{100'000};
    bool succeeds = true;
};

class VirtualUpstream
{
public:
    using Ended = std::function<void(const TaskKey &key, const TaskOutcome &outcome)>;

    std::uint64_t incarnation() const { return m_incarnation; }
    void start(VirtualClock &clock, const StartTask &task, const TaskPlan &plan, Ended ended);
    // Ends a running task as failed.
    void stop(const TaskKey &key);
    // Returns the tasks that ran and are lost.
    std::vector<TaskKey> restart();

private:
    struct Run
    {
        std::uint64_t number = 0;
        Ended ended;
    };

    void end(const TaskKey &key, std::uint64_t number, const TaskOutcome &outcome);

    std::uint64_t m_incarnation = 1;
    std::uint64_t m_starts = 0;
    std::unordered_map<TaskKey, Run> m_running;
};

} // namespace Bluebellquay
