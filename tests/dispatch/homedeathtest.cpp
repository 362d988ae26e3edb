// Plays, in virtual time, the death of a home whose last words, the order of a run among them,
// reach its agent late, because the agent stands still or the network holds them back, and an agent
// that stands still again soon after. The run of the home must be over when the caller submits its
// job again.
#include "core/runtracker.h"
#include "dispatch/trackerfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <sstream>
#include <string>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 5ms;
// One way between the home and the agent, rounded up to a step.
constexpr Duration Way = Step;
// Same values as in platform/processsetup.h and platform/workerclient.cpp.
constexpr Duration Silence = 600ms;
constexpr Duration AbsenceGrace = 250ms;
constexpr Duration RenewalInterval = 50ms;
constexpr Duration LongestLease = 1'000ms;
constexpr Duration StopDuration = 50ms;
constexpr Duration Resubmission = 1'300ms;
constexpr Duration LongestFreeze = 4'000ms;
// All times of a play are counted from the death of the home.
constexpr TimePoint Death{10s};

struct Freeze
{
    Duration from{0};
    Duration to{0};
};

// How an agent counts the answer of a home that it reads.
enum class Counting { FromQuestion, FromReading };

// When the home sends its order.
enum class Order { LongBefore, JustBeforeDeath };

// Whether an agent compares the lease of its worker with the limit of a run before it starts it.
enum class LeaseCheck { On, Off };

struct Play
{
    Freeze first;
    Freeze second;
    // What the home sends in its last second arrives this much later.
    Duration heldBack{0};
    // No end of the connection arrives.
    bool silentEnd = false;
    Counting counting = Counting::FromQuestion;
    Order order = Order::LongBefore;
    LeaseCheck leaseCheck = LeaseCheck::On;
};

class DyingHome : private TrackerFixture
{
public:
    explicit DyingHome(const Play &play)
        : m_play(play)
    {
        now = Death - 2s;
        m_heard = m_nextPing = m_nextRenewal = m_lease = now;
        tracker.homeAlive(now, Home, now, out);
        if (m_play.order == Order::LongBefore)
            run(0, 20'000);
        clear();
    }

    // When the run is over, counted from the death of the home.
    Duration runOver()
    {
        for (; !m_stoppedAt && now < Death + LongestFreeze + 2s; now += Step) {
            if (awake())
                wakeAgent();
        }
        return std::min(m_lease, m_stoppedAt.value_or(m_lease)) - Death;
    }
    // Whether the run was started.
    bool started() const { return m_play.order == Order::LongBefore || m_started; }

private:
    struct Answer
    {
        TimePoint arrival;
        TimePoint askedAt;
    };

    bool awake() const
    {
        const Duration at = now - Death;
        const auto covers = [at](const Freeze &freeze) {
            return at >= freeze.from && at < freeze.to;
        };
        return !covers(m_play.first) && !covers(m_play.second);
    }
    // What the home sends at this time arrives then.
    TimePoint arrival(TimePoint sentAt) const
    {
        return sentAt + Way + (sentAt >= Death - 1s ? m_play.heldBack : Duration(0));
    }
    void wakeAgent()
    {
        if (m_play.leaseCheck == LeaseCheck::On)
            tracker.setLeaseEnd(m_lease);
        readAnswers();
        readOrder();
        giveHomeUp();
        tracker.advance(now, out);
        ping();
        // A start asks for a lease as well.
        if (!out.starts.empty())
            m_nextRenewal = now;
        renew();
        m_started = m_started || !out.starts.empty();
        if (!out.stops.empty())
            m_stoppedAt = now + StopDuration;
        clear();
    }
    void readAnswers()
    {
        for (; !m_answers.empty() && m_answers.front().arrival <= now; m_answers.pop_front()) {
            // An agent that was silent for longer drops what it finds.
            if (m_link && now - m_heard >= Silence)
                m_link = false;
            if (!m_link)
                continue;
            m_heard = now;
            const bool reading = m_play.counting == Counting::FromReading;
            tracker.homeAlive(now, Home, reading ? now : m_answers.front().askedAt, out);
        }
    }
    void readOrder()
    {
        if (m_play.order == Order::LongBefore || m_orderRead || now < arrival(Death - Step))
            return;
        m_orderRead = true;
        if (m_link)
            run(0, 20'000);
    }
    void giveHomeUp()
    {
        const bool ended = !m_play.silentEnd && now >= arrival(Death);
        if (m_link && (ended || now - m_heard >= Silence))
            m_link = false;
        if (!m_link && !m_absentSince)
            m_absentSince = now;
        if (m_absentSince && now >= *m_absentSince + AbsenceGrace)
            tracker.homeSilent(now, Home, out);
    }
    void ping()
    {
        if (now < m_nextPing)
            return;
        m_nextPing = now + PingInterval;
        if (now + Way < Death)
            m_answers.push_back({arrival(now + Way), now});
    }
    void renew()
    {
        if (now < m_nextRenewal)
            return;
        m_nextRenewal = now + RenewalInterval;
        const TimePoint longest = now + LongestLease;
        m_lease = std::max(m_lease, std::min(longest, tracker.leaseLimit().value_or(longest)));
    }

    Play m_play;
    std::deque<Answer> m_answers;
    TimePoint m_heard;
    bool m_link = true;
    std::optional<TimePoint> m_absentSince;
    TimePoint m_nextPing;
    TimePoint m_nextRenewal;
    TimePoint m_lease;
    std::optional<TimePoint> m_stoppedAt;
    bool m_orderRead = false;
    bool m_started = false;
};

// Calls back with freezes of all lengths and at all times that matter: the second one begins while
// the agent waits for the home to come back.
template <typename Function>
void forEachPlay(const Play &pattern, const Function &function)
{
    for (const Duration heldBack : {0ms, 100ms, 250ms, 400ms, 590ms}) {
        for (Duration from = -600ms; from <= 50ms; from += 50ms) {
            for (Duration length = 0ms; length < Silence; length += 50ms) {
                for (Duration gap = 5ms; gap <= 900ms; gap += gap < 100ms ? 15ms : 100ms) {
                    Play play = pattern;
                    play.heldBack = heldBack;
                    play.first = {from, from + length};
                    const Duration second = std::max(play.first.to, Duration(0)) + gap;
                    play.second = {second, second + LongestFreeze};
                    function(play);
                    play.silentEnd = true;
                    function(play);
                }
            }
        }
    }
}

std::string describe(const Play &play, Duration over)
{
    std::ostringstream text;
    text << "frozen from " << play.first.from.count() << " to " << play.first.to.count()
         << " us and from " << play.second.from.count() << " us, held back "
         << play.heldBack.count() << " us: over at " << over.count() << " us";
    return text.str();
}

Play patternOf(Counting counting)
{
    Play pattern;
    pattern.counting = counting;
    return pattern;
}

Play lateOrder(LeaseCheck check)
{
    Play pattern;
    pattern.order = Order::JustBeforeDeath;
    pattern.leaseCheck = check;
    return pattern;
}

} // namespace

// Guards against two overlapping runs of a task: an agent took what a dead home had sent for a sign
// of life when it read it, and renewed the lease of the run before it stood still again.
TEST_CASE("the run of a home that died is over before its job is submitted again")
{
    Duration latest{0};
    forEachPlay(patternOf(Counting::FromQuestion), [&](const Play &play) {
        const Duration over = DyingHome(play).runOver();
        latest = std::max(latest, over);
        if (over >= Resubmission)
            FAIL_CHECK(describe(play, over));
    });
    // Else no play has tried the limit of the lease.
    CHECK(latest > 1s);
}

// Shows that the check can fail.
TEST_CASE("an agent that counts answers from their reading is found out")
{
    std::size_t late = 0;
    forEachPlay(patternOf(Counting::FromReading), [&](const Play &play) {
        late += DyingHome(play).runOver() >= Resubmission ? 1 : 0;
    });
    CHECK(late > 0);
}

// Guards against two overlapping runs of a task: an order that the network had held back past the
// death of its home started under a lease that was renewed before the order was known.
TEST_CASE("the run of an order that arrives after its home has died is over in time, too")
{
    std::size_t started = 0;
    forEachPlay(lateOrder(LeaseCheck::On), [&](const Play &play) {
        DyingHome home(play);
        const Duration over = home.runOver();
        started += home.started() ? 1 : 0;
        if (home.started() && over >= Resubmission)
            FAIL_CHECK(describe(play, over));
    });
    // Else nothing was tried.
    CHECK(started > 0);
}

// Shows that the check can fail.
TEST_CASE("an agent that starts runs under any lease is found out")
{
    std::size_t late = 0;
    forEachPlay(lateOrder(LeaseCheck::Off), [&](const Play &play) {
        DyingHome home(play);
        const Duration over = home.runOver();
        late += home.started() && over >= Resubmission ? 1 : 0;
    });
    CHECK(late > 0);
}
