#include "dispatch/idealqueue.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

class IdealQueue
{
public:
    IdealQueue(const std::vector<IdealJob> &jobs, std::vector<IdealWorker> workers)
        : m_jobs(jobs)
        , m_workers(std::move(workers))
        , m_left(jobs.size())
        , m_inTime(jobs.size(), true)
    {
        // The fastest worker with enough free processors is tried first.
        std::stable_sort(m_workers.begin(), m_workers.end(),
                         [](const auto &a, const auto &b) { return a.speed > b.speed; });
    }

    std::vector<bool> play()
    {
        std::size_t next = 0;
        while (next < m_jobs.size() || !m_ends.empty()) {
            const bool arrival = next < m_jobs.size()
                && (m_ends.empty() || m_jobs[next].arrived <= m_ends.begin()->first);
            const TimePoint now = arrival ? m_jobs[next].arrived : m_ends.begin()->first;
            if (arrival)
                arrive(next++);
            else
                endNext();
            startWaiting(now);
        }
        for (const auto &[priority, latestStart, job] : m_waiting)
            m_inTime[job] = false;
        return m_inTime;
    }

private:
    struct End
    {
        std::size_t worker = 0;
        std::uint32_t milliProcessors = 0;
    };

    TimePoint due(std::size_t job) const { return m_jobs[job].arrived + m_jobs[job].objective; }

    void arrive(std::size_t job)
    {
        m_left[job] = m_jobs[job].tasks;
        m_waiting.emplace(m_jobs[job].priority, due(job) - m_jobs[job].runTime, job);
    }

    void endNext()
    {
        const End end = m_ends.begin()->second;
        m_ends.erase(m_ends.begin());
        m_workers[end.worker].milliProcessors += end.milliProcessors;
    }

    void startWaiting(TimePoint now)
    {
        for (auto position = m_waiting.begin(); position != m_waiting.end();) {
            const auto current = position++;
            const auto [priority, latestStart, job] = *current;
            const bool begun = m_left[job] < m_jobs[job].tasks;
            if (!begun && now > latestStart) {
                m_inTime[job] = false;
                m_waiting.erase(current);
                continue;
            }
            while (m_left[job] > 0 && startOne(now, job))
                --m_left[job];
            if (m_left[job] == 0)
                m_waiting.erase(current);
        }
    }

    bool startOne(TimePoint now, std::size_t job)
    {
        const IdealJob &wanted = m_jobs[job];
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            if (m_workers[i].milliProcessors < wanted.milliProcessors)
                continue;
            m_workers[i].milliProcessors -= wanted.milliProcessors;
            const TimePoint end =
                now + std::chrono::duration_cast<Duration>(wanted.runTime / m_workers[i].speed);
            m_ends.emplace(end, End{i, wanted.milliProcessors});
            m_inTime[job] = m_inTime[job] && end <= due(job);
            return true;
        }
        return false;
    }

    const std::vector<IdealJob> &m_jobs;
    std::vector<IdealWorker> m_workers;
    // Number of tasks of each job that have not started.
    std::vector<std::uint32_t> m_left;
    std::vector<bool> m_inTime;
    // Ordered by priority, then by the latest start that is in time.
    std::set<std::tuple<std::uint32_t, TimePoint, std::size_t>> m_waiting;
    std::multimap<TimePoint, End> m_ends;
};

} // namespace

std::vector<bool> idealInTime(const std::vector<IdealJob> &jobs, std::vector<IdealWorker> workers)
{
    return IdealQueue(jobs, std::move(workers)).play();
}

} // namespace Bluebellquay::Testing
