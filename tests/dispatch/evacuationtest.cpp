// Evacuated data centres: which list a process believes, how lists spread, and what starts on a
// site whose data centres are emptied and filled again, with and without faults.
#include "core/evacuationrelay.h"
#include "dispatch/keyedsite.h"
#include "dispatch/randomseeds.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Bluebellquay;
using namespace Bluebellquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 24;

EvacuationNotice list(std::uint64_t version, std::vector<std::string> dataCentres)
{
    return {EvacuationVersion(version), std::move(dataCentres)};
}

KeyedSiteSettings threeDataCentres(std::uint64_t seed)
{
    KeyedSiteSettings settings;
    settings.seed = seed;
    settings.agents = 6;
    settings.dataCentres = {"fukuoka", "kumamoto", "kagoshima"};
    return settings;
}

// Submits a job of two tasks every 10 ms, at each entry in turn.
void submitFor(KeyedSite &site, Duration span)
{
    const ModelTask task{{4'000, 64'000'000, 0}, 100ms, false, {}};
    const TimePoint end = site.clock().now() + span;
    for (std::size_t entry = 0; site.clock().now() < end; entry = (entry + 1) % 3) {
        site.submit(entry, 2, task, 100ms, 1'500ms);
        site.run(10ms);
    }
}

std::size_t completed(const KeyedSite &site)
{
    std::size_t count = 0;
    for (const auto &[job, end] : site.ends())
        count += end.answered && end.answer.outcome == Outcome::Completed ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("an old list neither brings an evacuation back nor ends one")
{
    Evacuations evacuations;
    CHECK_FALSE(evacuations.mayStart("fukuoka"));
    CHECK(evacuations.offer(list(5, {"kumamoto"})));
    CHECK(evacuations.mayStart("fukuoka"));
    CHECK_FALSE(evacuations.mayStart("kumamoto"));
    CHECK_FALSE(evacuations.offer(list(4, {})));
    CHECK_FALSE(evacuations.mayStart("kumamoto"));
    CHECK(evacuations.offer(list(9, {})));
    CHECK_FALSE(evacuations.offer(list(5, {"kumamoto"})));
    CHECK(evacuations.mayStart("kumamoto"));
}

TEST_CASE("a newer list is passed on to all peers but its sender, and to new peers")
{
    constexpr Incarnation First{1};
    constexpr Incarnation Second{2};
    std::vector<std::pair<Incarnation, EvacuationNotice>> sent;
    EvacuationRelay relay([](const Evacuations &) {},
                          [&](Incarnation to, const Message &message) {
                              sent.emplace_back(to, std::get<EvacuationNotice>(message));
                          });
    relay.peerUp(First);
    relay.peerUp(Second);
    CHECK(sent.empty());
    relay.offerFromPeer(First, list(5, {"kumamoto"}));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == Second);
    relay.offerFromPeer(Second, list(4, {}));
    CHECK(sent.size() == 1);
    relay.offerFromStore(list(6, {}));
    CHECK(sent.size() == 3);
    relay.peerDown(First);
    relay.peerUp(First);
    REQUIRE(sent.size() == 4);
    CHECK(sent[3].second == list(6, {}));
}

TEST_CASE("an evacuated data centre is empty soon, and no job is lost for it")
{
    const std::vector<std::vector<std::string>> cases{
        {"kumamoto"}, {"kumamoto", "fukuoka"}, {"no such place"}};
    for (const auto &dataCentres : cases) {
        KeyedSite site(threeDataCentres(1));
        submitFor(site, 1s);
        site.evacuate(dataCentres, KeyedSite::CalmEvacuation);
        submitFor(site, 2s);
        site.evacuate({}, KeyedSite::CalmEvacuation);
        submitFor(site, 1s);
        site.run(3s);
        CHECK(site.violations().empty());
        CHECK(completed(site) == site.ends().size());
    }
}

TEST_CASE("while all data centres are evacuated jobs are refused, and then served again")
{
    KeyedSite site(threeDataCentres(2));
    submitFor(site, 500ms);
    site.evacuate({"fukuoka", "kumamoto", "kagoshima"}, KeyedSite::CalmEvacuation);
    site.run(KeyedSite::CalmEvacuation);
    const std::size_t starts = site.judge().starts();
    submitFor(site, 500ms);
    site.run(50ms);
    CHECK(site.judge().starts() == starts);
    for (const auto &[job, end] : site.ends())
        CHECK(end.answered);
    site.evacuate({}, KeyedSite::CalmEvacuation);
    site.run(KeyedSite::CalmEvacuation);
    submitFor(site, 200ms);
    site.run(3s);
    CHECK(site.judge().starts() > starts);
    CHECK(site.violations().empty());
}

namespace {

std::vector<std::string> playEvacuations(std::uint64_t seed)
{
    KeyedSite site(threeDataCentres(seed));
    const auto pick = [&](std::size_t most) {
        return std::uniform_int_distribution<std::size_t>(0, most)(site.random());
    };
    for (int round = 0; round < 4; ++round) {
        const std::vector<std::string> all{"fukuoka", "kumamoto", "kagoshima"};
        const std::size_t first = pick(2);
        site.evacuate({all[first]}, KeyedSite::EvacuationBound);
        // Twice within a second, now and then.
        if (pick(2) == 0) {
            submitFor(site, 200ms);
            site.evacuate({}, KeyedSite::EvacuationBound);
            site.evacuate({all[first], all[pick(2)]}, KeyedSite::EvacuationBound);
        }
        const std::size_t killedEntry = pick(2);
        site.killEntry(killedEntry, Duration(pick(2'000'000)));
        const std::size_t cutEntry = pick(2);
        site.cutFromStore(cutEntry, Duration(pick(8'000'000)));
        const std::size_t killedAgent = pick(5);
        site.killAgent(killedAgent, Duration(pick(3'000'000)));
        const std::size_t from = pick(2);
        const std::size_t to = pick(5);
        site.cut(from, to, Duration(pick(4'000'000)));
        submitFor(site, Duration(pick(7'000'000)));
        if (pick(1) == 0)
            site.evacuate({}, KeyedSite::EvacuationBound);
    }
    site.evacuate({}, KeyedSite::EvacuationBound);
    site.run(12s);
    return site.violations();
}

} // namespace

TEST_CASE("evacuations are kept while processes are killed and cut off")
{
    const std::vector<BrokenSeed> broken = brokenSeeds(Seeds, playEvacuations);
    INFO(describe(broken));
    CHECK(broken.empty());
}
