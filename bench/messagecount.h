// Counts the messages between agents and compares them with the minimum that the work requires.
//
// The minimum, given where tasks ran, is: one Reserve for each agent that ran tasks of a submission
// of another home, a Pull and a Bind for each Bind with such a task, and a TaskResult for each such
// task, all counted only for tasks that succeeded. A ResultAck that leaves together with another
// message or heartbeat on its link is not counted. Everything else is wasted: offers that led to no
// start, empty binds, withdrawals, separate acknowledgements, repetitions and failed tasks.
// Heartbeats and Hello are no part of any task's path and are not counted.
#pragma once

#include "base/messagekind.h"
#include "base/messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Bluebellquay {

class MessageCount
{
public:
    // Records a message that one agent sends to another. `from` and `to` are agent indices.
    void sent(TimePoint now, std::size_t from, std::size_t to, const Message &message);

    std::uint64_t total() const;
    std::uint64_t minimum() const { return m_minimum; }
    // Messages beyond the minimum, divided by the minimum.
    double wasted() const;
    // Tasks that succeeded on another agent than their home.
    std::uint64_t remoteTasks() const { return m_finished.size(); }
    std::string toString() const;

private:
    using Link = std::pair<std::size_t, std::size_t>;
    struct LinkState
    {
        TimePoint lastMessage{Duration(-1)};
        TimePoint lastSeparateAck{Duration(-1)};
    };
    using BindId = std::pair<std::size_t, PullNumber>;

    void recordBind(std::size_t agent, const Bind &bind);
    void recordResult(std::size_t agent, const TaskResult &result);

    std::array<std::uint64_t, MessageKinds> m_counts{};
    std::uint64_t m_minimum = 0;
    std::uint64_t m_separateAcks = 0;
    std::uint64_t m_emptyBinds = 0;
    // Reserve messages for single requests; all others are for jobs.
    std::uint64_t m_singleReserves = 0;
    std::map<Link, LinkState> m_links;
    std::unordered_map<TaskKey, BindId> m_binds;
    std::set<BindId> m_usefulBinds;
    std::set<std::pair<SubmissionId, std::size_t>> m_usefulReserves;
    std::set<TaskKey> m_finished;
};

} // namespace Bluebellquay
