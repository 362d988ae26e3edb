// A randomized run of the platform's programs as separate processes. Faults come from outside:
// signals that stop, pause, kill and restart processes, links that a relay cuts, stalls and resets,
// a store and workers that misbehave, announcements of other writers. The promises are checked from
// what callers and workers see.
#pragma once

#include "kernel/timerservice.h"
#include "net/httpclient.h"
#include "soak/soakcallers.h"
#include "soak/soakfaults.h"
#include "soak/soaksite.h"

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

struct SoakSettings
{
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    Duration length{8'000'000};
    // Mean time between two jobs, and between two faults.
    Duration jobGap{40'000};
    Duration faultGap{700'000};
    std::set<SoakFault> faults;
    // Folder of settings and logs.
    std::string folder;
};

struct SoakReport
{
    std::vector<std::string> violations;
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    std::size_t faults = 0;
    std::size_t starts = 0;
};

class PlatformSoak
{
public:
    explicit PlatformSoak(SoakSettings settings);
    ~PlatformSoak();

    SoakReport run();
    // Evacuates the data centre of the first agent, restarts processes meanwhile, and takes it
    // back.
    SoakReport runEvacuation();

private:
    struct Job
    {
        // With the path.
        std::string target;
        std::string key;
        std::string body;
        unsigned tasks = 0;
        // How long a submission waits for its answer.
        Duration patience{0};
        // No submission after it.
        TimePoint deadline;
        bool answered = false;
        bool rejectedOnly = true;
        TimerSubscription resubmission;
    };

    void checkEvacuated();
    void restart(SoakProcess &process);
    void waitReady();
    void submitNext();
    void submit(const std::shared_ptr<Job> &job, std::size_t entry);
    void answered(const std::shared_ptr<Job> &job, std::size_t entry, const HttpReply &reply);
    std::shared_ptr<Job> makeJob();
    void finishLoad();
    Duration::rep pick(Duration::rep low, Duration::rep high);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    SoakSite m_site;
    SoakFaults m_faults;
    SoakCallers m_callers;
    std::vector<std::shared_ptr<Job>> m_jobs;
    SoakReport m_report;
    bool m_loading = false;
    TimerSubscription m_nextJob;
};

} // namespace Bluebellquay::Testing
