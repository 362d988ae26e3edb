// Registry of the tasks that were bound to an executing agent. A task is running, finished, lost,
// or never to be started; the entry of the last kind is called a tombstone. Entries are kept until
// the home acknowledges them (invariants E1 and E2).
#pragma once

#include "base/messages.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Bluebellquay {

class TaskRegistry
{
public:
    struct Entry
    {
        TaskStatus status = TaskStatus::Running;
        // Set while running.
        ResourceNeed need;
        std::string branch;
        std::string team;
        // Meaningful once finished.
        TaskOutcome outcome;
        // Time of the last report to the home; meaningful once not running.
        TimePoint reported{};
    };

    const Entry *find(const TaskKey &key) const;
    // The key must be unknown.
    void start(const TaskKey &key, Entry entry);
    // These three end a running task; false if it is not running.
    bool finish(const TaskKey &key, TaskOutcome outcome);
    bool markLost(const TaskKey &key);
    bool markNotStarted(const TaskKey &key);
    // Records an unknown key as never to be started (tombstone), or as lost if entries of its home
    // were given up before, because the task may have run then. Returns the recorded status.
    TaskStatus recordTombstone(const TaskKey &key);
    void noteReported(TimePoint now, const TaskKey &key);
    // Removes an entry unless the task runs. Returns true if it was a tombstone.
    bool acknowledge(const TaskKey &key);

    std::vector<TaskKey> running() const;
    std::vector<TaskKey> runningOf(const SubmissionId &id) const;
    // Entries of a home that await its acknowledgement.
    std::vector<TaskKey> unacknowledged(Incarnation home) const;
    std::vector<Incarnation> homes() const;
    std::size_t size() const { return m_entries.size(); }
    std::size_t runningCount() const { return m_running; }

    // Gives up all entries of an unreachable home except running tasks. From then on nothing of
    // that home is reported as "not started" without a tombstone. Returns false if there was
    // nothing.
    bool forget(Incarnation home);
    bool isForgotten(Incarnation home) const { return m_forgotten.contains(home); }

private:
    bool end(const TaskKey &key, TaskStatus status);

    std::unordered_map<TaskKey, Entry> m_entries;
    std::size_t m_running = 0;
    // Homes whose entries were given up; the oldest of too many is dropped.
    std::unordered_set<Incarnation> m_forgotten;
    std::deque<Incarnation> m_forgottenOrder;
};

} // namespace Bluebellquay
