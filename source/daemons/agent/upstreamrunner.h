// Runs tasks on the upstream beside the agent, and reports the end of each task once.
#pragma once

#include "base/messages.h"
#include "core/agentcore.h"
#include "core/outbox.h"
#include "kernel/timerservice.h"
#include "net/connectclient.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Bluebellquay {

// How a started task ended, as far as the agent can tell.
enum class RunEnd {
    Finished,   // the upstream reported the outcome
    NotStarted, // the request surely never reached the upstream
    Lost,       // the upstream may have started it, and its outcome will never be known
};

class UpstreamRunner
{
public:
    // Called exactly once for each start(), never from within start().
    using Ended = std::function<void(const TaskKey &task, RunEnd end, const TaskOutcome &outcome)>;

    UpstreamRunner(boost::asio::io_context &context, TimerService &timers, Ended ended);

    // Sends further tasks to this upstream. If its incarnation differs from the earlier one's,
    // tasks that still run there are reported as Lost. Returns false if the address is not valid.
    bool connect(std::uint64_t incarnation, const std::string &address,
                 std::uint32_t maxConnections);

    void start(StartTask task);
    // Asks the upstream to stop the task; its end is reported as usual.
    void stop(const TaskKey &task);

    // False if no upstream was ever announced. Zero is a valid incarnation.
    bool connectedTo(std::uint64_t incarnation) const
    {
        return m_client != nullptr && m_incarnation == incarnation;
    }
    std::size_t running() const { return m_running.size(); }

private:
    struct Run
    {
        TimePoint startedAt;
    };

    void finish(const TaskKey &task, RunEnd end, TaskOutcome outcome);
    void reportAllLost();

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    Ended m_ended;
    // Null until the first announcement.
    std::unique_ptr<ConnectClient> m_client;
    std::uint64_t m_incarnation = 0;
    // Tasks sent through m_client whose end has not been reported.
    std::unordered_map<TaskKey, Run> m_running;
};

} // namespace Bluebellquay
