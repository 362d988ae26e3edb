// A randomized run of the platform's programs as separate processes, with stand-ins for the store
// and the workers in this process. Faults come from outside: signals that stop, pause, kill and
// restart processes, links that a relay cuts, stalls and resets, a store and workers that
// misbehave. The promises are checked from what callers and workers see.
#pragma once

#include "kernel/timerservice.h"
#include "net/httpclient.h"
#include "process/childprocess.h"
#include "process/portpool.h"
#include "standins/faultrelay.h"
#include "standins/platformstore.h"
#include "standins/platformworker.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
    // Folder of settings and logs; kept if the run fails.
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
    struct Process
    {
        std::string name;
        std::vector<std::string> command;
        std::optional<ChildProcess> child;
        unsigned short peerPort = 0;
        unsigned short otherPort = 0;
        std::shared_ptr<FaultRelay> relay;
        // Was told to stop and is to be started again.
        bool stopping = false;
        // Stands still until it is woken.
        bool paused = false;
        // Ends a pause, a kill or a stop.
        TimerSubscription next;
        TimerSubscription linkRepair;
    };
    struct Job
    {
        std::string key;
        std::string body;
        unsigned tasks = 0;
        TimePoint deadline;
        bool answered = false;
        bool rejectedOnly = true;
        TimerSubscription resubmission;
    };

    void startProcess(Process &process);
    void addEntry(std::size_t number);
    void addAgent(std::size_t number);
    std::string commonSettings(const Process &process, const std::string &dataCentre) const;
    void checkEvacuated();
    void restart(Process &process);
    void waitReady();
    void submitNext();
    void submit(const std::shared_ptr<Job> &job, std::size_t entry);
    void answered(const std::shared_ptr<Job> &job, std::size_t entry, const HttpReply &reply);
    void injectNext();
    void inject();
    void disturbProcess(Process &process);
    void disturbLinks(Process &process);
    void disturbStore();
    void disturbWorker();
    void repairAll();
    void pass(Duration span);
    Duration::rep pick(Duration::rep low, Duration::rep high);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context;
    TimerService m_timers;
    PortPool m_ports;
    PlatformJudge m_judge;
    PlatformStore m_store;
    std::vector<std::unique_ptr<Process>> m_entries;
    std::vector<std::unique_ptr<Process>> m_agents;
    std::vector<std::unique_ptr<PlatformWorker>> m_workers;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::vector<std::shared_ptr<Job>> m_jobs;
    SoakReport m_report;
    bool m_loading = false;
    TimerSubscription m_nextJob;
    TimerSubscription m_nextFault;
    TimerSubscription m_storeRepair;
    TimerSubscription m_workerRepair;
};

} // namespace Bluebellquay::Testing
