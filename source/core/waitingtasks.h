// The tasks of keyed jobs that wait at their home for a worker, in the order in which they are
// placed, and for how long the queue has not been empty.
#pragma once

#include "core/keyedjob.h"

#include <set>
#include <utility>

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

    void add(const JobRank &rank, const TaskRef &task) { m_queue.emplace(rank, task); }
    // Returns whether the task waited.
    bool remove(const JobRank &rank, const TaskRef &task)
    {
        return m_queue.erase({rank, task}) > 0;
    }
    void remove(Queue::const_iterator position) { m_queue.erase(position); }

    const Queue &queue() const { return m_queue; }
    std::size_t size() const { return m_queue.size(); }
    // Whether tasks of other jobs wait.
    bool anyBut(JobKey job) const
    {
        return !m_queue.empty()
            && (m_queue.begin()->second.job != job || m_queue.rbegin()->second.job != job);
    }

    // Called before tasks are added and after tasks were placed.
    void noteIfEmpty(TimePoint now)
    {
        if (m_queue.empty())
            m_emptyAt = now;
    }
    // Time for which at least one task has been waiting without interruption.
    Duration backlogAge(TimePoint now) const { return now - m_emptyAt; }

private:
    Queue m_queue;
    // Latest time at which no task waited.
    TimePoint m_emptyAt{};
};

} // namespace Bluebellquay
