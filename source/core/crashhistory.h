// Workers that have crashed under the tasks of a job. Outlives the job, which its caller may submit
// again after it was given up.
#pragma once

#include "base/coretime.h"
#include "base/runmessages.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace Bluebellquay {

class CrashHistory
{
public:
    // A task under which this many workers have crashed is not started again.
    static constexpr std::uint32_t MaxCrashes = 2;
    // 120 s. Callers do not submit a job again later than this.
    static constexpr Duration Retention{120'000'000};
    static constexpr std::size_t MaxJobs = 4'096;

    // A worker has crashed under this run. Returns how many have crashed under its task.
    std::uint32_t record(TimePoint now, const RunKey &run)
    {
        Job &job = m_jobs[run.job];
        job.until = now + Retention;
        m_order.emplace_back(job.until, run.job);
        const std::uint32_t crashes = ++job.crashes[{run.step, run.index}];
        forget(now);
        return crashes;
    }
    // Whether a task of the job must not be started again.
    bool givenUp(JobKey job) const
    {
        const auto position = m_jobs.find(job);
        return position != m_jobs.end()
            && std::any_of(position->second.crashes.begin(), position->second.crashes.end(),
                           [](const auto &item) { return item.second >= MaxCrashes; });
    }
    std::size_t jobs() const { return m_jobs.size(); }

private:
    struct Job
    {
        // Crashes by step and index of the task.
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> crashes;
        TimePoint until{};
    };

    void forget(TimePoint now)
    {
        while (!m_order.empty() && (m_order.front().first <= now || m_jobs.size() > MaxJobs)) {
            const auto [until, key] = m_order.front();
            m_order.pop_front();
            const auto position = m_jobs.find(key);
            if (position != m_jobs.end() && position->second.until == until)
                m_jobs.erase(position);
        }
    }

    std::unordered_map<JobKey, Job> m_jobs;
    // Jobs in the order of their latest crashes; an entry with another time than its job's is old.
    std::deque<std::pair<TimePoint, JobKey>> m_order;
};

} // namespace Bluebellquay
