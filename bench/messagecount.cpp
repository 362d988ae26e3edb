#include "messagecount.h"

#include <numeric>
#include <sstream>

namespace Bluebellquay {

void MessageCount::sent(TimePoint now, std::size_t from, std::size_t to, const Message &message)
{
    LinkState &link = m_links[{from, to}];
    if (std::holds_alternative<ResultAck>(message)) {
        if (link.lastMessage != now && link.lastSeparateAck != now) {
            ++m_separateAcks;
            link.lastSeparateAck = now;
        }
        return;
    }
    if (link.lastSeparateAck == now) {
        --m_separateAcks;
        link.lastSeparateAck = TimePoint(Duration(-1));
    }
    link.lastMessage = now;
    if (std::holds_alternative<Heartbeat>(message) || std::holds_alternative<Hello>(message))
        return;
    ++m_counts[message.index()];
    if (const Bind *bind = std::get_if<Bind>(&message))
        recordBind(to, *bind);
    else if (const TaskResult *result = std::get_if<TaskResult>(&message))
        recordResult(from, *result);
    else if (const Reserve *reserve = std::get_if<Reserve>(&message))
        m_singleReserves += reserve->jobTasks == 1 ? 1 : 0;
}

void MessageCount::recordBind(std::size_t agent, const Bind &bind)
{
    if (bind.tasks.empty())
        ++m_emptyBinds;
    for (const BoundTask &task : bind.tasks)
        m_binds[TaskKey{bind.submission, task.index, task.attempt}] = {agent, bind.pull};
}

void MessageCount::recordResult(std::size_t agent, const TaskResult &result)
{
    if (!result.outcome.succeeded || !m_finished.insert(result.task).second)
        return;
    ++m_minimum;
    const auto bind = m_binds.find(result.task);
    if (bind != m_binds.end() && m_usefulBinds.insert(bind->second).second)
        m_minimum += 2;
    if (m_usefulReserves.insert({result.task.submission, agent}).second)
        ++m_minimum;
}

std::uint64_t MessageCount::total() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), m_separateAcks);
}

double MessageCount::wasted() const
{
    return static_cast<double>(total()) / static_cast<double>(m_minimum) - 1;
}

std::string MessageCount::toString() const
{
    std::ostringstream text;
    text << "least=" << m_minimum << " useful_reserves=" << m_usefulReserves.size()
         << " useful_binds=" << m_usefulBinds.size() << " remote_tasks=" << m_finished.size()
         << " single_reserves=" << m_singleReserves << " empty_binds=" << m_emptyBinds
         << " separate_acks=" << m_separateAcks;
    for (std::size_t kind = 0; kind < m_counts.size(); ++kind) {
        if (m_counts[kind] > 0)
            text << ' ' << messageKindName(kind) << '=' << m_counts[kind];
    }
    return text.str();
}

} // namespace Bluebellquay
