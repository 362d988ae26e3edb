#include "kernel/timerservice.h"

#include <utility>

namespace Bluebellquay {

TimerSubscription::TimerSubscription(TimerSubscription &&other) noexcept
    : m_service(std::exchange(other.m_service, nullptr))
    , m_number(other.m_number)
{ }

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    if (this == &other)
        return *this;
    cancel();
    m_service = std::exchange(other.m_service, nullptr);
    m_number = other.m_number;
    return *this;
}

TimerSubscription::~TimerSubscription()
{
    cancel();
}

void TimerSubscription::cancel()
{
    if (m_service == nullptr)
        return;
    std::exchange(m_service, nullptr)->unsubscribe(m_number);
}

TimerService::TimerService(boost::asio::io_context &context)
    : m_timer(context)
    , m_start(std::chrono::steady_clock::now())
{ }

TimePoint TimerService::now() const
{
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_start));
}

TimerSubscription TimerService::at(TimePoint deadline, Callback callback)
{
    return subscribe(deadline, Duration(0), std::move(callback));
}

TimerSubscription TimerService::every(Duration interval, Callback callback)
{
    return subscribe(now() + interval, interval, std::move(callback));
}

TimerSubscription TimerService::subscribe(TimePoint deadline, Duration interval, Callback callback)
{
    const std::uint64_t number = ++m_lastNumber;
    m_entries.emplace(number, Entry{deadline, interval, std::move(callback)});
    m_byDeadline.emplace(DeadlineKey{deadline, number}, number);
    arm();
    return TimerSubscription(*this, number);
}

void TimerService::unsubscribe(std::uint64_t number)
{
    const auto position = m_entries.find(number);
    if (position == m_entries.end())
        return;
    m_byDeadline.erase(DeadlineKey{position->second.deadline, number});
    m_entries.erase(position);
}

void TimerService::arm()
{
    if (m_byDeadline.empty())
        return;
    const TimePoint next = m_byDeadline.begin()->first.first;
    if (m_armed && m_armedFor <= next)
        return;
    m_armed = true;
    m_armedFor = next;
    m_timer.expires_at(m_start + next.time_since_epoch());
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return; // Replaced by an earlier deadline.
        m_armed = false;
        runDue();
        arm();
    });
}

void TimerService::runDue()
{
    const TimePoint time = now();
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first.first <= time) {
        const std::uint64_t number = m_byDeadline.begin()->second;
        m_byDeadline.erase(m_byDeadline.begin());
        const auto position = m_entries.find(number);
        // The callback may cancel its own subscription, so it is copied before the call.
        const Callback callback = position->second.callback;
        if (position->second.interval > Duration(0)) {
            position->second.deadline = time + position->second.interval;
            m_byDeadline.emplace(DeadlineKey{position->second.deadline, number}, number);
        } else {
            m_entries.erase(position);
        }
        callback(time);
    }
}

} // namespace Bluebellquay
