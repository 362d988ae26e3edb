// The site of a soak: the platform's programs as separate processes, each behind a relay, with
// stand-ins for the store and the workers in this process. What happens is written to a file beside
// the logs of the processes.
#pragma once

#include "kernel/timerservice.h"
#include "process/childprocess.h"
#include "process/portpool.h"
#include "standins/faultrelay.h"
#include "standins/platformstore.h"
#include "standins/platformworker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

struct SoakProcess
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

using SoakProcesses = std::vector<std::unique_ptr<SoakProcess>>;

class SoakSite
{
public:
    // The folder takes settings and logs. Extra settings are added to those of each process.
    SoakSite(std::string folder, std::uint64_t seed, std::size_t entries, std::size_t agents,
             std::string extraSettings = {});

    boost::asio::io_context &context() { return m_context; }
    TimerService &timers() { return m_timers; }
    PlatformJudge &judge() { return m_judge; }
    PlatformStore &store() { return m_store; }
    SoakProcesses &entries() { return m_entries; }
    SoakProcesses &agents() { return m_agents; }
    // The worker beside the agent of this number; may be gone.
    PlatformWorker &worker(std::size_t agent) { return *m_workers[agent]; }
    static boost::asio::ip::tcp::endpoint loopback(unsigned short port);

    void start(SoakProcess &process);
    // Another worker, with another name and address, takes the place of one that is gone.
    void replaceWorker(std::size_t agent);
    void pass(Duration span);
    void putConfig(std::uint64_t version);
    // Evacuates the data centre of the first agent, or takes it back.
    void evacuate(bool evacuated);
    void repairStore();
    // Ends all faults; what is gone is started again.
    void repairAll();
    // Writes a line with the time of day, as the logs have it.
    void note(const std::string &text);

private:
    SoakProcess &addProcess(SoakProcesses &processes, const std::string &name,
                            const std::string &dataCentre);
    void addEntry(std::size_t number);
    void addAgent(std::size_t number);
    std::unique_ptr<PlatformWorker> makeWorker(std::size_t agent);

    std::string m_folder;
    std::string m_extraSettings;
    std::uint64_t m_seed;
    boost::asio::io_context m_context;
    TimerService m_timers;
    std::ofstream m_events;
    PortPool m_ports;
    PlatformJudge m_judge;
    PlatformStore m_store;
    SoakProcesses m_entries;
    SoakProcesses m_agents;
    std::vector<std::unique_ptr<PlatformWorker>> m_workers;
    // Those that are gone: calls of theirs may be on their way.
    std::vector<std::unique_ptr<PlatformWorker>> m_formerWorkers;
};

} // namespace Bluebellquay::Testing
