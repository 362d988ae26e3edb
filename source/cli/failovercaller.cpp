#include "cli/failovercaller.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr Duration MinRetryDelay{50'000};
constexpr Duration MaxRetryDelay{2'000'000};

// Delay before the given round of attempts. It doubles with each round; random jitter keeps many
// callers from retrying at the same time.
Duration retryDelay(std::size_t round)
{
    static std::mt19937 generator{std::random_device{}()};
    const Duration limit =
        std::min<Duration>(MinRetryDelay * (1U << std::min<std::size_t>(round, 10)), MaxRetryDelay);
    std::uniform_int_distribution<Duration::rep> jitter(limit.count() / 2, limit.count());
    return Duration(jitter(generator));
}

} // namespace

boost::leaf::result<std::unique_ptr<FailoverCaller>>
FailoverCaller::create(const std::vector<std::string> &addresses, const std::string &secret,
                       Clock::time_point deadline)
{
    std::unique_ptr<FailoverCaller> caller(new FailoverCaller(deadline));
    for (const std::string &address : addresses) {
        ConnectClientSettings settings;
        settings.address = address;
        settings.bearerSecret = secret;
        // One connection for the call that waits, one for requests for its progress.
        settings.maxConnections = 2;
        BOOST_LEAF_AUTO(client, ConnectClient::create(caller->m_context, settings));
        caller->m_clients.push_back(std::move(client));
    }
    return caller;
}

bool FailoverCaller::retryable(ConnectCode code)
{
    switch (code) {
    case ConnectCode::Unavailable:
    case ConnectCode::Unknown:
    case ConnectCode::DeadlineExceeded:
    case ConnectCode::ResourceExhausted:
        return true;
    default:
        return false;
    }
}

void FailoverCaller::selectNextAddress(unsigned attempt)
{
    m_current = (m_current + 1) % m_clients.size();
    if ((attempt + 1) % m_clients.size() == 0)
        pause(retryDelay(attempt / m_clients.size()));
}

void FailoverCaller::setTick(Duration interval, std::function<void()> tick)
{
    m_tickInterval = interval;
    m_tick = std::move(tick);
}

void FailoverCaller::pause(Duration time)
{
    if (time > Duration(0))
        std::this_thread::sleep_for(std::min(time, remaining()));
}

Duration FailoverCaller::remaining() const
{
    const auto left = std::chrono::duration_cast<Duration>(m_deadline - Clock::now());
    return std::max(left, Duration(0));
}

void FailoverCaller::wait(const std::function<bool()> &done)
{
    const bool ticks = m_tick && !m_ticking;
    auto nextTick = ticks ? Clock::now() + m_tickInterval : Clock::time_point::max();
    while (!done()) {
        m_context.restart();
        if (!ticks) {
            m_context.run_one();
            continue;
        }
        m_context.run_one_until(nextTick);
        if (done() || Clock::now() < nextTick)
            continue;
        m_ticking = true;
        m_tick();
        m_ticking = false;
        nextTick = Clock::now() + m_tickInterval;
    }
}

} // namespace Bluebellquay
