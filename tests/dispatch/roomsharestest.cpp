// Shares of a worker's room that homes lend each other: how they follow what the homes use, how
// exactly reports tell them, and what callers get when one home has most of the demand.
#include "sharing/roomshares.h"
#include "dispatch/keyedsite.h"
#include "sharing/roomclaims.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cmath>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Room = 64'000;
constexpr Incarnation First{1};

// One worker with this many homes, the first of which uses most of the room.
class SharedWorker
{
public:
    explicit SharedWorker(std::size_t homes)
        : m_homes(homes)
    {
        for (std::size_t i = 0; i < homes; ++i)
            m_shares.homeUp(home(i));
    }

    static Incarnation home(std::size_t index) { return Incarnation(index + 1); }
    void holds(std::size_t index, double part)
    {
        m_shares.holds(m_now, home(index), static_cast<std::uint64_t>(part * Room));
    }
    void pass(Duration span) { m_now += span; }
    double share(std::size_t index) const { return m_shares.shareOf(m_now, home(index), Room); }
    double sum() const
    {
        double total = 0;
        for (std::size_t i = 0; i < m_homes; ++i)
            total += share(i);
        return total;
    }

private:
    std::size_t m_homes;
    RoomShares m_shares;
    TimePoint m_now{1s};
};

} // namespace

TEST_CASE("homes that use little lend their share to one that uses more")
{
    for (const std::size_t homes : {3U, 10U, 100U}) {
        CAPTURE(homes);
        SharedWorker worker(homes);
        CHECK(worker.share(0) == Approx(1.0 / static_cast<double>(homes)));
        worker.holds(0, 0.7);
        worker.pass(5s);
        CHECK(worker.share(0) == Approx(0.7).epsilon(0.05));
        CHECK(worker.share(1) >= RoomShares::KeptPart / static_cast<double>(homes));
        CHECK(worker.sum() == Approx(1));
    }
}

TEST_CASE("homes that all need their share keep it")
{
    SharedWorker worker(4);
    for (std::size_t i = 0; i < 4; ++i)
        worker.holds(i, 0.25);
    worker.pass(5s);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(worker.share(i) == Approx(0.25));
}

// The callers move from one home to another: the shares follow within a second, and without
// swinging past their new values.
TEST_CASE("shares follow a step, a ramp and a wave of the demand")
{
    SharedWorker worker(3);
    worker.holds(0, 0.8);
    worker.holds(1, 0.1);
    worker.pass(5s);
    worker.holds(0, 0.1);
    worker.holds(1, 0.8);
    double latest = worker.share(1);
    for (int i = 0; i < 40; ++i) {
        worker.pass(50ms);
        CHECK(worker.share(1) >= latest - 1e-9);
        CHECK(worker.share(1) <= 0.8 + 1e-9);
        latest = worker.share(1);
        if (i == 9)
            CHECK(latest > 0.45);
    }
    CHECK(latest == Approx(0.8).epsilon(0.05));

    for (int i = 0; i <= 100; ++i) {
        worker.holds(1, 0.8 - 0.006 * i);
        worker.holds(2, 0.1 + 0.006 * i);
        worker.pass(20ms);
        CHECK(worker.sum() == Approx(1));
    }
    CHECK(worker.share(2) > worker.share(1));

    double least = 1;
    double most = 0;
    for (int i = 0; i < 1000; ++i) {
        worker.holds(0, 0.5 + 0.15 * std::sin(i * 2 * M_PI / 550));
        worker.holds(1, 0.1);
        worker.holds(2, 0.1);
        worker.pass(20ms);
        if (i > 500) {
            least = std::min(least, worker.share(0));
            most = std::max(most, worker.share(0));
        }
    }
    CHECK(most - least <= 0.3);
    CHECK(most - least >= 0.2);
}

TEST_CASE("a lender, or a borrower, that is gone leaves no loan behind")
{
    SharedWorker worker(3);
    worker.holds(0, 0.9);
    worker.pass(5s);
    worker.holds(0, 0);
    worker.pass(350ms);
    // Half of what was borrowed above the equal share is back.
    CHECK(worker.share(0) < 0.5);
    worker.pass(5s);
    CHECK(worker.share(0) == Approx(1.0 / 3).epsilon(0.01));
    CHECK(worker.share(1) == Approx(1.0 / 3).epsilon(0.01));
}

// A home adds up the reports of the agents that it is linked to.
TEST_CASE("reports tell shares within 5%")
{
    for (const double share : {1.0, 0.9, 0.7, 0.55, 0.31, 0.12, 0.01}) {
        double sum = 0;
        constexpr int Agents = 35;
        for (std::uint64_t agent = 0; agent < Agents; ++agent)
            sum += 1.0 / equalHomes(share, agent * 7 + 3);
        CAPTURE(share);
        CHECK(sum / Agents == Approx(share).epsilon(0.05));
    }
    CHECK(equalHomes(0, 1) >= 1);
}

// Guards against a claim that outlives its home, link or order: the room would stay idle.
TEST_CASE("freed room is kept for the best claim, and for a few milliseconds only")
{
    TimePoint now{1s};
    const Incarnation other(2);
    RoomClaims claims;
    claims.returned(now, First, {{false, 1, now + 50ms}, 5'000});
    claims.returned(now, other, {{false, 0, now + 90ms}, 8'000});
    claims.update(now, 7'000);
    CHECK_FALSE(claims.reservedFor());
    claims.update(now, 9'000);
    CHECK(claims.reservedFor() == other);
    CHECK(claims.withheldFrom(First) == 8'000);
    CHECK(claims.withheldFrom(other) == 0);
    // It has ordered: the next room is for the next best claim, which is its own again.
    claims.taken(other);
    claims.update(now, 9'000);
    CHECK(claims.reservedFor() == other);
    // It does not order.
    REQUIRE(claims.nextExpiry() == now + RoomClaims::ReservationDuration);
    now += RoomClaims::ReservationDuration;
    claims.update(now, 9'000);
    CHECK(claims.reservedFor() == First);
    claims.remove(First);
    CHECK(claims.withheldFrom(other) == 0);
    claims.update(now, 9'000);
    CHECK_FALSE(claims.reservedFor());
    // Late jobs go behind those that can be in time; claims run out by themselves.
    claims.returned(now, First, {{true, 0, now - 10ms}, 5'000});
    claims.returned(now, other, {{false, 5, now + 10ms}, 5'000});
    claims.update(now, 9'000);
    CHECK(claims.reservedFor() == other);
    now += RoomClaims::ClaimDuration;
    claims.update(now, 9'000);
    CHECK_FALSE(claims.reservedFor());
}

namespace {

struct HomeResult
{
    int jobs = 0;
    int refused = 0;
    int inTime = 0;
};

// Three homes, of which the first has most of the jobs, and 1.3 times the work that the workers can
// do for two seconds of six.
std::vector<HomeResult> playUnevenDemand(bool lendRoom, std::uint64_t seed)
{
    KeyedSiteSettings settings;
    settings.seed = seed;
    settings.agents = 12;
    settings.lendRoom = lendRoom;
    KeyedSite site(settings);
    std::vector<std::pair<std::size_t, JobKey>> jobs;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    constexpr double Processors = 12 * 64;
    constexpr double WorkOfJob = 4 * 5.6 * 0.3;
    for (int step = 0; step < 600; ++step) {
        const double load = step >= 200 && step < 400 ? 1.3 : 0.5;
        std::poisson_distribution<int> arrivals(load * Processors / WorkOfJob * 0.01);
        for (int left = arrivals(random); left > 0; --left) {
            const double draw = chance(random);
            const std::size_t entry = draw < 0.7 ? 0 : draw < 0.85 ? 1 : 2;
            jobs.emplace_back(entry,
                              site.submit(entry, 4, {{5'600, 0, 0}, 300ms, false, {}}, 300ms, 2s));
        }
        site.run(10ms);
    }
    site.run(5s);
    CHECK(site.violations().empty());
    std::vector<HomeResult> homes(3);
    for (const auto &[entry, job] : jobs) {
        const CallerEnd &end = site.ends().at(job);
        HomeResult &home = homes[entry];
        ++home.jobs;
        home.refused += end.answered && end.answer.outcome == Outcome::NotRun ? 1 : 0;
        home.inTime += end.answer.outcome == Outcome::Completed && end.after <= 540ms ? 1 : 0;
    }
    return homes;
}

} // namespace

// The load: a crest that callers of one home bring. Homes that need less than an equal share must
// hardly refuse any job for it (2%), and no fewer jobs be in time in all. Baseline: equal shares,
// with which the home that hears of free room last refuses a fifth.
TEST_CASE("a crest at one home is not borne by the others")
{
    HomeResult lentOthers;
    HomeResult equalOthers;
    int lentInTime = 0;
    int equalInTime = 0;
    const auto play = [](bool lendRoom, std::uint64_t seed, HomeResult &others, int &inTime) {
        const std::vector<HomeResult> homes = playUnevenDemand(lendRoom, seed);
        for (std::size_t i = 0; i < homes.size(); ++i) {
            inTime += homes[i].inTime;
            others.jobs += i > 0 ? homes[i].jobs : 0;
            others.refused += i > 0 ? homes[i].refused : 0;
        }
    };
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        play(true, seed, lentOthers, lentInTime);
        play(false, seed, equalOthers, equalInTime);
    }
    INFO("refused " << lentOthers.refused << " of " << lentOthers.jobs << ", baseline "
                    << equalOthers.refused << "; in time " << lentInTime << ", baseline "
                    << equalInTime);
    CHECK(lentOthers.refused * 100 <= lentOthers.jobs * 2);
    CHECK(lentOthers.refused < equalOthers.refused);
    CHECK(lentInTime >= equalInTime);
}
