#include "core/ackbatch.h"

#include "core/timerheap.h"

namespace Bluebellquay {

namespace {

// Below the time after which agents repeat a result, with room for the round trip.
constexpr Duration AckDelay{400'000};
constexpr std::size_t MaxKeys = 256;

} // namespace

void AckBatch::add(TimePoint now, Incarnation agent, const TaskKey &key)
{
    PendingAcks &owed = m_pending[agent];
    if (owed.keys.empty())
        owed.due = now + AckDelay;
    owed.keys.push_back(key);
    if (owed.keys.size() >= MaxKeys)
        owed.due = now;
}

void AckBatch::flush(TimePoint now, Outbox &out)
{
    if (m_pending.empty())
        return;
    const std::size_t present = out.messages.size();
    for (std::size_t i = 0; i < present; ++i)
        flushTo(out.messages[i].to, out);
    for (auto position = m_pending.begin(); position != m_pending.end();) {
        const Incarnation agent = position->first;
        const bool due = position->second.due <= now;
        ++position;
        if (due)
            flushTo(agent, out);
    }
}

void AckBatch::flushTo(Incarnation agent, Outbox &out)
{
    const auto position = m_pending.find(agent);
    if (position == m_pending.end())
        return;
    out.send(agent, ResultAck{std::move(position->second.keys)});
    m_pending.erase(position);
}

std::optional<TimePoint> AckBatch::nextWakeup() const
{
    std::optional<TimePoint> next;
    for (const auto &[agent, owed] : m_pending)
        next = earliest(next, owed.due);
    return next;
}

} // namespace Bluebellquay
