// Provides the time and timers of a daemon. Its parts subscribe here instead of reading the clock.
#pragma once

#include "base/coretime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace Bluebellquay {

class TimerService;

// Ends its subscription when destroyed. Must not outlive the timer service.
class TimerSubscription
{
public:
    TimerSubscription() = default;
    TimerSubscription(TimerSubscription &&other) noexcept;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;
    ~TimerSubscription();

    void cancel();
    bool active() const { return m_service != nullptr; }

private:
    friend class TimerService;
    TimerSubscription(TimerService &service, std::uint64_t number)
        : m_service(&service)
        , m_number(number)
    { }

    TimerService *m_service = nullptr;
    std::uint64_t m_number = 0;
};

// Runs callbacks on the thread of its io_context, never from within subscribe().
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;

    explicit TimerService(boost::asio::io_context &context);

    // Monotonic time since the start of this service.
    TimePoint now() const;

    // Calls back once, at the deadline or as soon after it as the event loop gets to it.
    [[nodiscard]] TimerSubscription at(TimePoint deadline, Callback callback);

    // Calls back every interval (above zero) until cancelled. Missed intervals are skipped, so that
    // a process that was paused does not run them all at once.
    [[nodiscard]] TimerSubscription every(Duration interval, Callback callback);

private:
    friend class TimerSubscription;
    struct Entry
    {
        TimePoint deadline;
        Duration interval; // zero for a single callback
        Callback callback;
    };
    using DeadlineKey = std::pair<TimePoint, std::uint64_t>;

    TimerSubscription subscribe(TimePoint deadline, Duration interval, Callback callback);
    void unsubscribe(std::uint64_t number);
    void arm();
    void runDue();

    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_start;
    std::uint64_t m_lastNumber = 0;
    // Both hold the same subscriptions: by number, and by deadline for the next one due.
    std::map<std::uint64_t, Entry> m_entries;
    std::map<DeadlineKey, std::uint64_t> m_byDeadline;
    // Deadline that m_timer waits for; meaningless unless m_armed.
    TimePoint m_armedFor;
    bool m_armed = false;
};

} // namespace Bluebellquay
