// The tasks of keyed jobs that wait at their home for a worker, in the order in which they are
// placed, and for how long the queue has not been empty.
#pragma once

#include "core/keyedjob.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

// One task of a job at its home.
struct TaskRef
{
    JobKey job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted comparison.
    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

class WaitingTasks
{
public:
    // Tasks with a smaller rank come first. All tasks of a job have the same rank.
    using Queue = std::set<std::pair<JobRank, TaskRef>>;

    void add(TimePoint now, const KeyedJob &job, const TaskRef &task)
    {
        if (m_queue.emplace(job.rank, task).second)
            ++m_backlogs.try_emplace(job.rule.name, Backlog{0, now}).first->second.tasks;
    }
    // Returns whether the task waited.
    bool remove(const KeyedJob &job, const TaskRef &task)
    {
        const bool waited = m_queue.erase({job.rank, task}) > 0;
        if (waited)
            --m_backlogs[job.rule.name].tasks;
        return waited;
    }

    // Removes all tasks of the job. Returns those that waited, in ascending order.
    std::vector<TaskRef> removeAll(const KeyedJob &job)
    {
        std::vector<TaskRef> removed;
        for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
            for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
                const TaskRef task{job.spec.key, step, index};
                if (remove(job, task))
                    removed.push_back(task);
            }
        }
        return removed;
    }

    const Queue &queue() const { return m_queue; }
    std::size_t size() const { return m_queue.size(); }

    // Called before the tasks of a job are added and after tasks were placed.
    void noteIfEmpty(TimePoint now)
    {
        if (m_queue.empty())
            m_emptyAt = now;
        for (auto &[queue, backlog] : m_backlogs) {
            if (backlog.tasks == 0)
                backlog.emptyAt = now;
        }
    }
    // Time for which at least one task has been waiting without interruption; if some queues do not
    // count, at least one task of the same queue.
    template <typename QueueFilter>
    Duration backlogAge(TimePoint now, const QueueFilter &counts) const
    {
        bool all = true;
        Duration age{0};
        for (const auto &[queue, backlog] : m_backlogs) {
            if (!counts(queue))
                all = false;
            else if (backlog.tasks > 0)
                age = std::max(age, now - backlog.emptyAt);
        }
        return all ? now - m_emptyAt : age;
    }

private:
    struct Backlog
    {
        std::size_t tasks = 0;
        // Latest time at which none waited.
        TimePoint emptyAt{};
    };

    Queue m_queue;
    // Latest time at which no task waited.
    TimePoint m_emptyAt{};
    // Backlog of each queue that has had a waiting task, by the name of the queue.
    std::map<std::string, Backlog> m_backlogs;
};

} // namespace Bluebellquay
