// Decides when to ask a store for the changes of one table, and when to give a call up. A store
// that has lost a long poll, or the answer to it, looks like one that has nothing to tell, and a
// change that is made meanwhile stays unknown. So the time that a poll waits is bounded by what a
// follower may miss, and not by the store.
//
// After a call without an answer the next one asks for an answer at once: it shows that the store
// is back. After outages of any phase, a follower knows what has changed within
//
//   its longest wait + AnswerTime
//
// and the time of one short answer. Followers of one table are woken by the same change, so each
// draws its waits by itself: an outage then meets their polls at different times.
//
// The class does no I/O and reads no clock.
#pragma once

#include "base/coretime.h"
#include "net/redialdelay.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

namespace Bluebellquay {

// How long the followers of one table let the store wait for a change.
struct FeedPace
{
    // The longest wait of a poll while there are few followers.
    Duration wait{1'000'000};
    // With more followers their polls together stay within the store's rate: the longest wait is no
    // shorter than this for each of them.
    Duration waitPerFollower{0};
};

struct FeedCall
{
    enum class Kind : std::uint8_t {
        ReadAll,
        // The changes so far; answered at once.
        Look,
        // Waits for a change.
        Poll,
    };

    Kind kind = Kind::ReadAll;
    // When it is made.
    TimePoint at;
    // How long the store may wait for a change.
    Duration wait{0};
    // The call is given up if there is no answer within this time.
    Duration timeout{0};
};

// Snake-case name as used in logs.
constexpr std::string_view toString(FeedCall::Kind kind)
{
    constexpr std::array<std::string_view, 3> Names = {"read_all", "look", "poll"};
    return Names[static_cast<std::size_t>(kind)];
}

class FeedSchedule
{
public:
    // For an answer of the store beyond the wait of the call, at a store that is slow.
    static constexpr Duration AnswerTime{1'500'000};
    static constexpr Duration LongestWait{20'000'000};
    // The shortest wait that is drawn, of the longest one.
    static constexpr int ShortestWaitPercent = 75;
    // Between calls that the store rejects at once.
    static constexpr Duration FirstRetryDelay{100'000};
    static constexpr Duration LongestRetryDelay{1'000'000};

    explicit FeedSchedule(FeedPace pace)
        : m_pace(pace)
    { }

    // Number of processes that follow the table, this one included, as far as is known.
    void setFollowers(std::size_t followers) { m_followers = followers; }
    Duration longestWait() const
    {
        const Duration shared = m_pace.waitPerFollower * static_cast<Duration::rep>(m_followers);
        return std::min(std::max(m_pace.wait, shared), LongestWait);
    }

    // The call that is being made or waits to be made.
    const FeedCall &call() const { return m_call; }

    // Each of these makes the next call the present one.
    void start(TimePoint now) { set(FeedCall::Kind::ReadAll, now, Duration(0)); }
    template <typename Random>
    void answered(TimePoint now, Random &random)
    {
        m_retryDelay.reset();
        const Duration longest = longestWait();
        std::uniform_int_distribution<Duration::rep> pick(
            longest.count() * ShortestWaitPercent / 100, longest.count());
        set(FeedCall::Kind::Poll, now, Duration(pick(random)));
    }
    // The changes since the last answer are no longer to be had.
    void historyDropped(TimePoint now) { start(now); }
    // No answer, or one that says nothing of the table.
    template <typename Random>
    void failed(TimePoint now, Random &random)
    {
        const bool whole = m_call.kind == FeedCall::Kind::ReadAll;
        // A call that was given up has taken longer than the delay.
        const TimePoint at = std::max(now, m_call.at + m_retryDelay.next(random));
        set(whole ? FeedCall::Kind::ReadAll : FeedCall::Kind::Look, at, Duration(0));
    }

private:
    void set(FeedCall::Kind kind, TimePoint at, Duration wait)
    {
        m_call = {kind, at, wait, wait + AnswerTime};
    }

    FeedPace m_pace;
    std::size_t m_followers = 1;
    RedialDelay m_retryDelay{FirstRetryDelay, LongestRetryDelay};
    FeedCall m_call;
};

} // namespace Bluebellquay
