// One test for each failure that docs/design.md names for homes and executing agents. Each says
// which failure it guards against.
#include "core/siteauditor.h"
#include "core/virtualsite.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;

namespace {

constexpr Duration Millisecond{1'000};
constexpr Duration Second{1'000'000};

// A site of agents with one slot, so that work at agent 0 must go to the others.
class FaultSite
{
public:
    explicit FaultSite(Duration runTime, std::size_t agents = 3)
    {
        auto rules = std::make_shared<RuleSet>();
        rules->branches["b"].kinds["plain"] = KindRule();
        rules->branches["b"].kinds["idempotent"].idempotent = true;
        rules->branches["b"].kinds["patient"].deadline = 600 * Second;
        SiteOptions options;
        options.agents.assign(agents, SiteOptions::AgentPlan{"north", 1});
        options.rules = rules;
        options.plan = [this, runTime](const StartTask &, std::size_t agent) {
            return TaskPlan{runTime, !failing.at(agent)};
        };
        options.started = [this](const StartTask &task, std::size_t agent) {
            startedAt.push_back(agent);
            auditor.started(task.task.submission, task.task.index, task.payload);
        };
        options.received = [this](std::size_t, const Message &message) {
            if (const Reply *reply = std::get_if<Reply>(&message)) {
                replies.push_back(*reply);
                auditor.replied(reply->id, nullptr, *reply);
            }
        };
        failing.resize(agents);
        site = std::make_unique<VirtualSite>(std::move(options));
        run(Second);
    }

    void run(Duration time) { site->run(site->now() + time); }

    SubmissionId submit(std::size_t tasks, const std::string &kind = "plain")
    {
        const auto period = site->agent(0)->heartbeat(site->now()).issuePeriod;
        const SubmissionId id(site->incarnation(0), period, Nonce(++m_nonce));
        Submit submit;
        submit.correlation = Correlation(m_nonce);
        submit.id = id;
        submit.job.branch = "b";
        submit.job.kind = kind;
        for (std::size_t i = 0; i < tasks; ++i)
            submit.job.tasks.push_back(TaskSpec{std::to_string(m_nonce * 1000 + i), {}});
        auditor.expectBody(id, submit.job, kind == "idempotent" ? 2 : 1);
        site->sendFromEntry(0, id.home(), submit);
        return id;
    }
    Reply ask(Message message, std::size_t agent = 0)
    {
        site->sendFromEntry(0, site->incarnation(agent), std::move(message));
        run(10 * Millisecond);
        return replies.back();
    }
    std::size_t startsAt(std::size_t agent) const
    {
        return static_cast<std::size_t>(std::count(startedAt.begin(), startedAt.end(), agent));
    }

    SiteAuditor auditor;
    std::vector<bool> failing;
    std::vector<std::size_t> startedAt;
    std::vector<Reply> replies;
    std::unique_ptr<VirtualSite> site;

private:
    std::uint64_t m_nonce = 0;
};

bool endedWith(const FaultSite &fixture, const SubmissionId &id, Outcome outcome, Reason reason)
{
    const Answer *answer = fixture.auditor.answerOf(id);
    return answer != nullptr && answer->outcome == outcome && answer->reason == reason
        && fixture.auditor.violations().empty();
}

} // namespace

TEST_CASE("A job with a task on a killed agent fails and is not started again", "[core][fault]")
{
    FaultSite fixture(3 * Second);
    const SubmissionId id = fixture.submit(3);
    fixture.run(Second);
    REQUIRE(fixture.startsAt(1) == 1);
    fixture.site->kill(1);
    fixture.run(20 * Second);
    CHECK(endedWith(fixture, id, Outcome::Failed, Reason::TaskLost));
    CHECK(fixture.startedAt.size() == 3);
}

TEST_CASE("A request whose upstream restarts is unknown, or retried if idempotent", "[core][fault]")
{
    FaultSite fixture(Second, 1);
    const SubmissionId plain = fixture.submit(1);
    fixture.run(100 * Millisecond);
    fixture.site->restartUpstream(0);
    fixture.run(2 * Second);
    CHECK(endedWith(fixture, plain, Outcome::Unknown, Reason::OutcomeLost));
    const SubmissionId retried = fixture.submit(1, "idempotent");
    fixture.run(100 * Millisecond);
    fixture.site->restartUpstream(0);
    fixture.run(5 * Second);
    CHECK(endedWith(fixture, retried, Outcome::Completed, Reason::None));
    CHECK(fixture.auditor.startsOf(retried) == 2);
}

TEST_CASE("An agent frozen past every timeout starts nothing twice", "[core][fault]")
{
    FaultSite fixture(500 * Millisecond);
    const SubmissionId id = fixture.submit(6);
    fixture.run(100 * Millisecond);
    fixture.site->freeze(1);
    fixture.run(60 * Second);
    fixture.site->wake(1);
    fixture.run(60 * Second);
    CHECK(fixture.auditor.answerOf(id) != nullptr);
    CHECK(fixture.auditor.violations().empty());
    CHECK(fixture.site->agent(1)->memory().registryEntries == 0);
}

TEST_CASE("A result that a silent link lost is delivered again", "[core][fault]")
{
    FaultSite fixture(Second);
    const SubmissionId id = fixture.submit(3);
    fixture.run(500 * Millisecond);
    fixture.site->silence(1, 0);
    fixture.run(10 * Second);
    CHECK(endedWith(fixture, id, Outcome::Completed, Reason::None));
}

TEST_CASE("A frozen home is still the authority when it wakes", "[core][fault]")
{
    FaultSite fixture(Second);
    const SubmissionId id = fixture.submit(1);
    fixture.run(100 * Millisecond);
    fixture.site->freeze(0);
    fixture.run(20 * Second);
    CHECK(fixture.auditor.answerOf(id) == nullptr);
    fixture.site->wake(0);
    fixture.run(5 * Second);
    const Reply reply = fixture.ask(Await{Correlation(77), id});
    REQUIRE(reply.answer);
    CHECK(reply.answer->outcome == Outcome::Completed);
    CHECK(fixture.auditor.startsOf(id) == 1);
}

TEST_CASE("A home that wakes after its results were given up doesn't start them again",
          "[core][fault]")
{
    // The tasks end after the links were given up, so their results are still to be sent.
    FaultSite fixture(4 * Second);
    const SubmissionId id = fixture.submit(3, "patient");
    fixture.run(100 * Millisecond);
    REQUIRE(fixture.startedAt.size() == 3);
    fixture.site->freeze(0);
    fixture.run(60 * Second);
    CHECK(fixture.site->agent(1)->memory().registryEntries == 0);
    fixture.site->wake(0);
    fixture.run(10 * Second);
    CHECK(fixture.startedAt.size() == 3);
    const Reply reply = fixture.ask(Await{Correlation(79), id});
    REQUIRE(reply.answer);
    CHECK(reply.answer->reason == Reason::TaskLost);
}

TEST_CASE("A drained agent starts nothing more and its tasks run elsewhere", "[core][fault]")
{
    FaultSite fixture(300 * Millisecond);
    const SubmissionId id = fixture.submit(12);
    fixture.run(400 * Millisecond);
    fixture.site->drain(1);
    const std::size_t before = fixture.startsAt(1);
    fixture.run(10 * Second);
    CHECK(fixture.startsAt(1) == before);
    CHECK(endedWith(fixture, id, Outcome::Completed, Reason::None));
}

TEST_CASE("A stopped home hands its answers to a successor", "[core][fault]")
{
    FaultSite fixture(300 * Millisecond, 2);
    const SubmissionId id = fixture.submit(4);
    fixture.run(100 * Millisecond);
    fixture.site->beginStop(0);
    fixture.run(5 * Second);
    CHECK(fixture.site->agent(0)->stopped());
    CHECK(endedWith(fixture, id, Outcome::Completed, Reason::None));
    const Reply reply = fixture.ask(Await{Correlation(78), id}, 1);
    REQUIRE(reply.answer);
    CHECK(*reply.answer == *fixture.auditor.answerOf(id));
}

TEST_CASE("A refused id is never run, whatever body follows", "[core][fault]")
{
    FaultSite fixture(100 * Millisecond);
    const auto period = fixture.site->agent(0)->heartbeat(fixture.site->now()).issuePeriod;
    const SubmissionId id(fixture.site->incarnation(0), period, Nonce(1));
    const Reply reply = fixture.ask(Refuse{Correlation(5), id, Reason::Overload, Second});
    REQUIRE(reply.answer);
    CHECK(reply.answer->outcome == Outcome::NotRun);
    CHECK(reply.answer->retryAfter == Second);
    CHECK(fixture.submit(1) == id);
    fixture.run(Second);
    CHECK(fixture.startedAt.empty());
    CHECK(endedWith(fixture, id, Outcome::NotRun, Reason::Overload));
}

TEST_CASE("Another body under a used id is told apart", "[core][fault]")
{
    FaultSite fixture(100 * Millisecond);
    const SubmissionId id = fixture.submit(1);
    fixture.run(Second);
    Submit other;
    other.correlation = Correlation(50);
    other.id = id;
    other.job.tasks.resize(1);
    CHECK(fixture.ask(other).kind == ReplyKind::BodyMismatch);
}

TEST_CASE("An id is answered as expired when its record is gone", "[core][fault]")
{
    FaultSite fixture(100 * Millisecond);
    const SubmissionId id = fixture.submit(1);
    fixture.run(160 * Second);
    CHECK(fixture.site->agent(0)->memory().records == 0);
    const Reply reply = fixture.ask(Await{Correlation(51), id});
    REQUIRE(reply.answer);
    CHECK(reply.answer->reason == Reason::ExpiredId);
    CHECK(fixture.auditor.startsOf(id) == 1);
}

TEST_CASE("A wave of cancels leaves nothing queued", "[core][fault]")
{
    FaultSite fixture(300 * Millisecond);
    std::vector<SubmissionId> ids;
    ids.reserve(50);
    for (int i = 0; i < 50; ++i)
        ids.push_back(fixture.submit(5));
    fixture.run(400 * Millisecond);
    for (std::size_t i = 0; i < ids.size(); ++i)
        fixture.site->sendFromEntry(1, ids[i].home(), Cancel{Correlation(i), ids[i]});
    fixture.run(Second);
    CHECK(fixture.auditor.violations().empty());
    CHECK(fixture.startedAt.size() < 12);
    for (std::size_t agent = 0; agent < 3; ++agent) {
        CHECK(fixture.site->agent(agent)->memory().reservations == 0);
        CHECK(fixture.site->agent(agent)->memory().activeSubmissions == 0);
    }
}

TEST_CASE("An upstream that fails everything doesn't attract work", "[core][fault]")
{
    FaultSite fixture(50 * Millisecond);
    fixture.failing[1] = true;
    for (int i = 0; i < 300; ++i) {
        fixture.submit(1);
        fixture.run(20 * Millisecond);
    }
    fixture.run(5 * Second);
    CHECK(fixture.startsAt(1) < 20);
    CHECK(fixture.startsAt(1) >= 5);
}

TEST_CASE("A request that fails on several agents is reported as one that cannot run",
          "[core][fault]")
{
    FaultSite fixture(50 * Millisecond);
    fixture.failing = {true, true, true};
    const SubmissionId blocker = fixture.submit(1);
    const SubmissionId id = fixture.submit(1, "idempotent");
    fixture.run(5 * Second);
    CHECK(endedWith(fixture, blocker, Outcome::Failed, Reason::TaskFailed));
    CHECK(endedWith(fixture, id, Outcome::Failed, Reason::FailsEverywhere));
    CHECK(fixture.auditor.startsOf(id) == 2);
}
