// Limits retries to a share of the first attempts, so that retries don't multiply the load when
// much fails; and the delay before each retry.
#pragma once

#include "base/coretime.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <random>

namespace Bluebellquay {

// Decides how long to wait before attempt number `attempt` (from two).
template <typename Policy>
concept RetryPolicy = requires(const Policy &policy, std::uint32_t attempt, std::mt19937_64 &random)
{
    {
        policy.delay(attempt, random)
        } -> std::same_as<Duration>;
};

// Doubles the delay with each attempt and spreads it evenly over its upper half.
struct ExponentialRetry
{
    Duration first{50'000};
    Duration limit{5'000'000};

    Duration delay(std::uint32_t attempt, std::mt19937_64 &random) const
    {
        constexpr std::uint32_t MaxDoublings = 16;
        const std::uint32_t doublings = std::min(attempt < 2 ? 0 : attempt - 2, MaxDoublings);
        const Duration full = std::min(limit, first * (Duration::rep(1) << doublings));
        std::uniform_int_distribution<Duration::rep> jitter(full.count() / 2, full.count());
        return Duration(jitter(random));
    }
};
static_assert(RetryPolicy<ExponentialRetry>);

class RetryBudget
{
public:
    // Each first attempt allows `ratio` retries, zero to one.
    void addFirstAttempt(double ratio) { m_tokens = std::min(Limit, m_tokens + ratio); }
    // Returns false if the budget is used up.
    bool takeRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    // Allows a few retries when little has been submitted so far.
    static constexpr double Initial = 10;
    static constexpr double Limit = 100;

    // Never negative, never above Limit.
    double m_tokens = Initial;
};

} // namespace Bluebellquay
