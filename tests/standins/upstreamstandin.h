// Stand-in of an upstream: announces itself to its agent and runs timed tasks. It has no admission
// control: it starts whatever it is given.
#pragma once

#include "bluebellquay/v1/upstream.pb.h"
#include "kernel/timerservice.h"
#include "net/connectclient.h"
#include "net/connectserver.h"
#include "standins/startlog.h"
#include "standins/taskprogram.h"
#include "standins/v1/control.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Bluebellquay {

struct UpstreamStandinSettings
{
    boost::asio::ip::tcp::endpoint endpoint;
    // host:port where the agent takes announcements; empty for none.
    std::string agent;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t milliProcessors = 64'000;
    std::uint64_t memoryBytes = 128UL << 30;
    Duration announceInterval{1'000'000};
    bool failEverything = false;
};

class UpstreamStandin
{
public:
    // Errors: ListenError, AddressError.
    static boost::leaf::result<std::unique_ptr<UpstreamStandin>>
    create(boost::asio::io_context &context, TimerService &timers, UpstreamStandinSettings settings,
           StartLog startLog);

    unsigned short port() const { return m_server->port(); }

    // Says Leave to the agent, finishes what runs, and calls back. What the agent still sends is
    // run, too.
    void leave(std::function<void()> finished);

private:
    using TaskAttemptKey = std::pair<std::string, std::uint32_t>;
    using RunDone = std::function<void(ConnectResult<bluebellquay::v1::RunTaskResponse>)>;
    struct RunningTask
    {
        std::string output;
        bool fail = false;
        RunDone done;
        TimerSubscription end;
    };
    // By number, since a task may be started twice; that is what the stand-in is to show.
    using RunningTasks = std::map<std::uint64_t, RunningTask>;

    UpstreamStandin(TimerService &timers, UpstreamStandinSettings settings, StartLog startLog,
                    std::unique_ptr<ConnectServer> server, std::unique_ptr<ConnectClient> agent);
    void addTaskHandlers();
    void addControlHandlers();
    void announce();
    void sendLeave(std::uint32_t attempt);
    void run(const bluebellquay::v1::RunTaskRequest &request, RunDone done);
    void stopTask(const bluebellquay::v1::StopTaskRequest &request);
    void finish(std::uint64_t number, const std::string &error);
    void checkLeft();
    Duration runTime(const TaskProgram &program) const;
    standins::v1::UpstreamState state() const;

    TimerService &m_timers;
    UpstreamStandinSettings m_settings;
    std::uint64_t m_incarnation;
    standins::v1::UpstreamBehaviour m_behaviour;
    StartLog m_startLog;
    RunningTasks m_running;
    // Numbers of the running tasks, by task id and attempt.
    std::multimap<TaskAttemptKey, std::uint64_t> m_byTask;
    std::uint64_t m_lastNumber = 0;
    std::uint32_t m_mostRunning = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_announcements = 0;
    bool m_leaveSent = false;
    // Set from leave() until it was called.
    std::function<void()> m_left;
    TimerSubscription m_announceTimer;
    TimerSubscription m_leaveTimer;
    // Destroyed first, so that no handler runs without the members above.
    std::unique_ptr<ConnectClient> m_agent;
    std::unique_ptr<ConnectServer> m_server;
};

} // namespace Bluebellquay
