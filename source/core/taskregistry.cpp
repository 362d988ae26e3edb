#include "core/taskregistry.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

// More homes than fail in several days at the target size; 16 bytes each.
constexpr std::size_t MaxForgottenHomes = 10'000;

} // namespace

const TaskRegistry::Entry *TaskRegistry::find(const TaskKey &key) const
{
    const auto position = m_entries.find(key);
    return position == m_entries.end() ? nullptr : &position->second;
}

void TaskRegistry::start(const TaskKey &key, Entry entry)
{
    entry.status = TaskStatus::Running;
    m_entries.emplace(key, std::move(entry));
    ++m_running;
}

bool TaskRegistry::end(const TaskKey &key, TaskStatus status)
{
    const auto position = m_entries.find(key);
    if (position == m_entries.end() || position->second.status != TaskStatus::Running)
        return false;
    position->second.status = status;
    --m_running;
    return true;
}

bool TaskRegistry::finish(const TaskKey &key, TaskOutcome outcome)
{
    if (!end(key, TaskStatus::Finished))
        return false;
    m_entries[key].outcome = std::move(outcome);
    return true;
}

bool TaskRegistry::markLost(const TaskKey &key)
{
    return end(key, TaskStatus::Lost);
}

bool TaskRegistry::markNotStarted(const TaskKey &key)
{
    return end(key, TaskStatus::NotStarted);
}

TaskStatus TaskRegistry::recordTombstone(const TaskKey &key)
{
    Entry entry;
    entry.status = isForgotten(key.submission.home()) ? TaskStatus::Lost : TaskStatus::NotStarted;
    const TaskStatus status = entry.status;
    m_entries.emplace(key, std::move(entry));
    return status;
}

void TaskRegistry::noteReported(TimePoint now, const TaskKey &key)
{
    const auto position = m_entries.find(key);
    if (position != m_entries.end())
        position->second.reported = now;
}

bool TaskRegistry::acknowledge(const TaskKey &key)
{
    const auto position = m_entries.find(key);
    if (position == m_entries.end() || position->second.status == TaskStatus::Running)
        return false;
    const bool tombstone = position->second.status == TaskStatus::NotStarted;
    m_entries.erase(position);
    return tombstone;
}

std::vector<TaskKey> TaskRegistry::running() const
{
    std::vector<TaskKey> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.status == TaskStatus::Running)
            keys.push_back(key);
    }
    return keys;
}

std::vector<TaskKey> TaskRegistry::runningOf(const SubmissionId &id) const
{
    std::vector<TaskKey> keys = running();
    std::erase_if(keys, [&](const TaskKey &key) { return key.submission != id; });
    return keys;
}

std::vector<TaskKey> TaskRegistry::unacknowledged(Incarnation home) const
{
    std::vector<TaskKey> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.status != TaskStatus::Running && key.submission.home() == home)
            keys.push_back(key);
    }
    return keys;
}

std::vector<Incarnation> TaskRegistry::homes() const
{
    std::vector<Incarnation> homes;
    for (const auto &[key, entry] : m_entries)
        homes.push_back(key.submission.home());
    std::sort(homes.begin(), homes.end());
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    return homes;
}

bool TaskRegistry::forget(Incarnation home)
{
    const std::size_t removed = std::erase_if(m_entries, [home](const auto &entry) {
        return entry.first.submission.home() == home && entry.second.status != TaskStatus::Running;
    });
    if (removed == 0 || !m_forgotten.insert(home).second)
        return removed > 0;
    m_forgottenOrder.push_back(home);
    if (m_forgottenOrder.size() > MaxForgottenHomes) {
        m_forgotten.erase(m_forgottenOrder.front());
        m_forgottenOrder.pop_front();
    }
    return true;
}

} // namespace Bluebellquay
