// Plays followers of a table through outages of its store, in virtual time: each must know of a
// change soon after the store is back, whatever call the outage has met.
#include "net/feedschedule.h"
#include "core/virtualclock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <utility>
#include <vector>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

// Same values as in platform/processsetup.h.
constexpr FeedPace OperatorTablePace{1s, 4ms};
// Times that the users' platform guarantees: the store counts as steady this long after an outage,
// and a change is then in force within this time.
constexpr Duration SteadyAfter = 3s;
constexpr Duration InForceWithin = 2s;
// One way to the store, and its answer when it is slow.
constexpr Duration Way = 1ms;
constexpr Duration SlowAnswer = 240ms;

struct Outage
{
    TimePoint from;
    TimePoint to;
};

// What becomes of the polls that wait when an outage begins.
enum class Waiting { Kept, Lost };

struct Play
{
    std::vector<Outage> outages;
    Waiting waiting = Waiting::Kept;
    std::size_t followers = 1;
    // The first ones have outages, the others always reach the store.
    std::size_t affected = 1;
    std::uint64_t seed = 1;
    FeedPace pace = OperatorTablePace;
};

// A store with one number, which followers wait to see rise.
class FollowedStore
{
public:
    explicit FollowedStore(Play play)
        : m_play(std::move(play))
        , m_random(m_play.seed)
    {
        for (std::size_t i = 0; i < m_play.followers; ++i) {
            Follower &follower = m_followers.emplace_back(Follower{FeedSchedule(m_play.pace)});
            follower.schedule.setFollowers(m_play.followers);
            follower.schedule.start(m_clock.now());
            call(i);
        }
    }

    void changeAt(TimePoint at)
    {
        m_clock.at(at, [this] {
            ++m_version;
            for (std::size_t i = 0; i < m_followers.size(); ++i)
                answer(i, m_followers[i].callNumber);
        });
    }
    void run(TimePoint until) { m_clock.run(until); }
    bool allKnow() const
    {
        return std::all_of(m_followers.begin(), m_followers.end(),
                           [this](const Follower &each) { return each.known == m_version; });
    }
    std::size_t calls() const { return m_calls; }

private:
    struct Follower
    {
        FeedSchedule schedule;
        int known = 0;
        std::uint64_t callNumber = 0;
        // The poll that the store has and would answer at a change.
        bool waits = false;
        TimePoint arrived{};
    };

    bool down(std::size_t index, TimePoint at) const
    {
        return index < m_play.affected
            && std::any_of(m_play.outages.begin(), m_play.outages.end(),
                           [at](const Outage &each) { return at >= each.from && at < each.to; });
    }
    bool lostSince(std::size_t index, TimePoint arrived) const
    {
        return m_play.waiting == Waiting::Lost && index < m_play.affected
            && std::any_of(m_play.outages.begin(), m_play.outages.end(), [&](const Outage &each) {
                   return each.from > arrived && each.from <= m_clock.now();
               });
    }

    void call(std::size_t index)
    {
        Follower &follower = m_followers[index];
        const FeedCall made = follower.schedule.call();
        const std::uint64_t number = ++follower.callNumber;
        follower.waits = false;
        m_clock.at(made.at, [this, index, made, number] {
            ++m_calls;
            m_clock.at(m_clock.now() + Way,
                       [this, index, made, number] { arrive(index, made, number); });
            m_clock.at(m_clock.now() + made.timeout, [this, index, number] {
                if (m_followers[index].callNumber != number)
                    return;
                m_followers[index].schedule.failed(m_clock.now(), m_random);
                call(index);
            });
        });
    }
    void arrive(std::size_t index, const FeedCall &made, std::uint64_t number)
    {
        if (down(index, m_clock.now()))
            return;
        Follower &follower = m_followers[index];
        follower.waits = true;
        follower.arrived = m_clock.now();
        if (made.kind != FeedCall::Kind::Poll || follower.known < m_version)
            return answer(index, number);
        m_clock.at(m_clock.now() + made.wait, [this, index, number] { answer(index, number); });
    }
    // The store answers the call, unless it has lost it.
    void answer(std::size_t index, std::uint64_t number)
    {
        Follower &follower = m_followers[index];
        if (follower.callNumber != number || !std::exchange(follower.waits, false))
            return;
        if (down(index, m_clock.now()) || lostSince(index, follower.arrived))
            return;
        m_clock.at(m_clock.now() + SlowAnswer + Way, [this, index, number, version = m_version] {
            Follower &asker = m_followers[index];
            if (asker.callNumber != number)
                return;
            asker.known = version;
            asker.schedule.answered(m_clock.now(), m_random);
            call(index);
        });
    }

    Play m_play;
    std::mt19937_64 m_random;
    VirtualClock m_clock;
    std::deque<Follower> m_followers;
    int m_version = 0;
    std::size_t m_calls = 0;
};

// A change that wakes all followers at once, then outages from this phase on, and two changes after
// the last one. Returns whether all followers know each change in time.
bool knownInTime(Duration phase, const std::vector<Duration> &outages, Play play)
{
    const TimePoint woken{2s};
    TimePoint at = woken + phase;
    for (const Duration outage : outages) {
        play.outages.push_back({at, at + outage});
        // Followers that ask once after an outage meet the next one.
        at += outage + 300ms;
    }
    const TimePoint end = play.outages.back().to;
    FollowedStore store(play);
    store.changeAt(woken);
    for (const Duration change : {Duration(1us), Duration(SteadyAfter)}) {
        store.changeAt(end + change);
        const TimePoint due = std::max(end + SteadyAfter, end + change + InForceWithin);
        store.run(due);
        if (!store.allKnow())
            return false;
    }
    return true;
}

// Calls back with each phase of the outages against the polls that a change has woken.
template <typename Function>
void forEachPhase(const Function &function)
{
    constexpr Duration Step = 20ms;
    for (Duration phase = 0ms; phase <= 22s; phase += Step)
        function(phase, static_cast<std::uint64_t>(phase / Step) + 1);
}

} // namespace

// Guards against changes that stay unknown for 22 s after an outage: a long poll that a silent
// store had lost was waited for, and the polls of all followers were equally long.
TEST_CASE("a change is known in time after an outage of each phase")
{
    const Waiting waiting = GENERATE(Waiting::Kept, Waiting::Lost);
    const std::vector<Duration> outages =
        GENERATE(std::vector<Duration>{500ms}, std::vector<Duration>{4'500ms},
                 std::vector<Duration>{9s}, std::vector<Duration>{4'500ms, 1s, 200ms, 2'700ms});
    for (const std::size_t followers : {1, 3, 10}) {
        for (const std::size_t affected : {followers, (followers + 1) / 2}) {
            forEachPhase([&](Duration phase, std::uint64_t seed) {
                Play play;
                play.waiting = waiting;
                play.followers = followers;
                play.affected = affected;
                play.seed = seed;
                if (!knownInTime(phase, outages, play))
                    FAIL_CHECK(followers << " followers, " << affected << " affected, outages from "
                                         << phase.count() << " us after a change on");
            });
        }
    }
}

// Shows that the check can fail.
TEST_CASE("followers that let the store wait for long are found out")
{
    std::size_t late = 0;
    forEachPhase([&](Duration phase, std::uint64_t seed) {
        Play play;
        play.seed = seed;
        play.pace.wait = FeedSchedule::LongestWait;
        late += knownInTime(phase, {4'500ms}, play) ? 0 : 1;
    });
    CHECK(late > 0);
}

TEST_CASE("followers of a calm store ask it at a bounded rate, however many there are")
{
    for (const std::size_t followers : {1, 100, 500, 2'000, 4'000}) {
        Play play;
        play.followers = followers;
        play.affected = 0;
        FollowedStore store(play);
        store.run(TimePoint(20s));
        const std::size_t before = store.calls();
        store.run(TimePoint(40s));
        const double perSecond = static_cast<double>(store.calls() - before) / 20;
        CHECK(perSecond <= 2.0 * static_cast<double>(followers));
        CHECK(perSecond <= 300);
    }
}

TEST_CASE("a store that rejects calls is asked with growing delays")
{
    std::mt19937_64 random(1);
    FeedSchedule schedule(OperatorTablePace);
    TimePoint now{1s};
    schedule.start(now);
    for (int i = 0; i < 10; ++i) {
        schedule.failed(now, random);
        CHECK(schedule.call().kind == FeedCall::Kind::ReadAll);
        CHECK(schedule.call().at >= now + FeedSchedule::FirstRetryDelay / 2);
        CHECK(schedule.call().at <= now + FeedSchedule::LongestRetryDelay);
        now = schedule.call().at;
    }
    schedule.answered(now, random);
    schedule.failed(now, random);
    CHECK(schedule.call().kind == FeedCall::Kind::Look);
    CHECK(schedule.call().wait == 0us);
}
