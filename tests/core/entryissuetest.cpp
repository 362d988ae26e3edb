// Guards against ids of homes that must not get any, uneven choice of homes, and jobs that break
// the rules.
#include "entryfixture.h"

#include <bluebellquay/v1/hinokuni.pb.h>
#include <bluebellquay/v1/maras.pb.h>

using namespace Bluebellquay;

namespace {

std::map<std::uint64_t, int> homesOf(EntryFixture &entry, std::uint32_t count)
{
    std::map<std::uint64_t, int> homes;
    const auto reserved = entry.core->reserveIds(entry.now, count);
    REQUIRE(reserved);
    for (const SubmissionId &id : reserved->ids)
        ++homes[id.home().value()];
    return homes;
}

bool canReserve(EntryFixture &entry, std::uint32_t count = 1)
{
    return static_cast<bool>(entry.core->reserveIds(entry.now, count));
}

} // namespace

TEST_CASE("Ids carry the home's current issue period and nonces of the source", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.beat(Incarnation(10), AgentState::Serving, 8, 41);
    const auto reserved = entry.core->reserveIds(entry.now, 2);
    REQUIRE(reserved);
    CHECK(reserved->ids
          == std::vector{SubmissionId(Incarnation(10), IssuePeriod(41), Nonce(1)),
                         SubmissionId(Incarnation(10), IssuePeriod(41), Nonce(2))});
    CHECK(reserved->validFor > Duration(0));
}

TEST_CASE("Only linked serving agents that were heard get ids", "[entry]")
{
    EntryFixture entry;
    CHECK_FALSE(canReserve(entry));
    ProcessInfo serving = EntryFixture::agent(10);
    serving.state = AgentState::Serving;
    entry.core->peerUp(entry.now, serving, entry.out);
    CHECK_FALSE(canReserve(entry)); // Its issue period is not known yet.
    for (const AgentState state : {AgentState::Starting, AgentState::Leaving, AgentState::Gone}) {
        entry.beat(Incarnation(10), state);
        CHECK_FALSE(canReserve(entry));
    }
    entry.beat(Incarnation(10));
    CHECK(canReserve(entry));
    entry.unlink(10);
    CHECK_FALSE(canReserve(entry));
}

TEST_CASE("The number of ids of a call is bounded", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    CHECK_FALSE(canReserve(entry, 0));
    CHECK(canReserve(entry, 10'000));
    CHECK_FALSE(canReserve(entry, 10'001));
}

TEST_CASE("Homes are taken from the own data centre until it is full", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.link(EntryFixture::agent(20, "kumamoto"));
    entry.link(EntryFixture::agent(30, "lima"));
    CHECK(homesOf(entry, 8) == std::map<std::uint64_t, int>{{10, 8}});
    CHECK(homesOf(entry, 4) == std::map<std::uint64_t, int>{{20, 4}});
}

TEST_CASE("The less loaded of two choices gets the id", "[entry]")
{
    EntryFixture entry;
    for (std::uint64_t home = 10; home < 20; ++home)
        entry.link(EntryFixture::agent(home));
    // One choice at random would give the fullest home about 100 ids more than the emptiest.
    const auto homes = homesOf(entry, 10'000);
    for (const auto &[home, ids] : homes) {
        CHECK(ids > 980);
        CHECK(ids < 1020);
    }
    for (std::uint64_t home = 10; home < 20; ++home)
        entry.beat(Incarnation(home), AgentState::Serving, home == 15 ? 0 : 8);
    CHECK(homesOf(entry, 40).count(15) == 0);
}

TEST_CASE("Homes that are gone are named, so that their unused ids are discarded", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.unlink(10);
    ProcessInfo restarted = EntryFixture::agent(11);
    restarted.name = "agent-10";
    entry.link(restarted);
    const auto reserved = entry.core->reserveIds(entry.now, 1);
    REQUIRE(reserved);
    CHECK(reserved->goneHomes == std::vector{Incarnation(10)});
    entry.pass(Duration(101'000'000));
    entry.beat(Incarnation(11));
    CHECK(entry.core->reserveIds(entry.now, 1)->goneHomes.empty());
}

TEST_CASE("Jobs that break the rules are rejected before anything is sent", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const auto rejected = [&](auto change) {
        auto request = sampleSubmit(entry.newId(10));
        change(*request.mutable_job());
        const CallId call = entry.submit(request);
        return entry.error(call) == CallErrorKind::InvalidArgument;
    };
    CHECK_FALSE(rejected([](auto &) {}));
    CHECK(entry.sentTo<Submit>(10).size() == 1);
    CHECK(rejected([](auto &job) { job.set_branch("yumi"); }));
    CHECK(rejected([](auto &job) { job.set_kind("closing"); }));
    CHECK(rejected([](auto &job) { job.set_kind("checkout"); })); // The required sheet is missing.
    CHECK(rejected([](auto &job) { job.clear_tasks(); }));
    CHECK(rejected([](auto &job) {
        for (int i = 0; i < 700; ++i)
            job.add_tasks();
    }));
    CHECK(rejected([](auto &job) { job.add_tasks()->set_payload(std::string(4 << 20, 'x')); }));
    CHECK(rejected([](auto &job) { job.set_team(std::string(129, 'x')); }));
    CHECK(rejected([](auto &job) {
        job.set_branch("maras");
        job.set_kind("tally"); // Without a team, although the branch shares by team.
    }));
    CHECK(rejected([](auto &job) {
        job.mutable_exceptions()->PackFrom(
            maras::v1::Exceptions()); // The exceptions of the other branch.
    }));
    CHECK(rejected([](auto &job) {
        job.mutable_exceptions()->PackFrom(hinokuni::v1::Exceptions());
        job.mutable_exceptions()->set_value("\xff\xff");
    }));
    CHECK(entry.sentTo<Submit>(10).size() == 1);
}

TEST_CASE("Exceptions of a branch are part of the job whatever the rules say", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    hinokuni::v1::Exceptions exceptions;
    exceptions.set_panel_open(true);
    exceptions.set_sheet("A3");
    exceptions.set_revision("7");
    for (const char *kind : {"search", "checkout"}) {
        auto request = sampleSubmit(entry.newId(10));
        request.mutable_job()->set_kind(kind);
        request.mutable_job()->mutable_exceptions()->PackFrom(exceptions);
        entry.submit(request);
    }
    const auto submits = entry.sentTo<Submit>(10);
    REQUIRE(submits.size() == 2);
    CHECK(submits[0].job.urgentRequested);
    // The home applies the rule: the digest of the job would change with the rules otherwise, and a
    // repeat after a configuration change would be taken for another body.
    CHECK(submits[1].job.urgentRequested);
    CHECK(submits[0].job.reference == "2:A3/7");
}
