// Guards the basic exchange of a single agent with its entries: submit, start, answer, cancel.
#include "core/agentcore.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;

namespace {

constexpr Incarnation AgentId{7};
constexpr Incarnation EntryId{8};

std::unique_ptr<AgentCore> servingAgent(Outbox &out)
{
    AgentCoreSettings settings;
    settings.self.incarnation = AgentId;
    auto agent = AgentCore::create(settings, TimePoint()).value();
    auto rules = std::make_shared<RuleSet>();
    rules->branches["hinokuni"].kinds["fetch"] = KindRule();
    agent->setRules(TimePoint(), ConfigVersion(1), rules, out);
    UpstreamCapacity capacity;
    capacity.incarnation = 1;
    capacity.slots = 2;
    agent->upstreamAnnounced(TimePoint(), capacity, out);
    return agent;
}

constexpr Incarnation PeerId{9};

ProcessInfo peerAgent()
{
    ProcessInfo info;
    info.incarnation = PeerId;
    info.name = "peer";
    info.state = AgentState::Serving;
    return info;
}

// The pull of an agent for one task that a home on another agent offers.
Pull pulledBy(AgentCore &agent, const SubmissionId &id)
{
    Outbox out;
    agent.peerUp(TimePoint(), peerAgent(), out);
    Reserve reserve;
    reserve.submission = id;
    reserve.tasks = 1;
    agent.handle(TimePoint(), PeerId, reserve, out);
    return std::get<Pull>(out.messages.at(0).message);
}

Submit submitOf(std::uint64_t nonce, std::size_t tasks)
{
    Submit submit;
    submit.correlation = Correlation(nonce);
    submit.id = SubmissionId(AgentId, IssuePeriod(1), Nonce(nonce));
    submit.job.branch = "hinokuni";
    submit.job.kind = "fetch";
    submit.job.tasks.resize(tasks);
    return submit;
}

} // namespace

TEST_CASE("A job runs on the free slots of its own home and is answered once", "[core]")
{
    Outbox out;
    const auto agent = servingAgent(out);
    agent->handle(TimePoint(), EntryId, submitOf(1, 3), out);
    REQUIRE(out.starts.size() == 2);
    for (std::size_t i = 0; i < out.starts.size(); ++i) {
        const TaskKey key = out.starts[i].task;
        agent->taskFinished(TimePoint(), key,
                            TaskOutcome{true, std::to_string(key.index.value()), {}, {}}, out);
    }
    CHECK(out.starts.size() == 3);
    REQUIRE(out.messages.size() == 1);
    const Reply reply = std::get<Reply>(out.messages[0].message);
    CHECK(out.messages[0].to == EntryId);
    CHECK(reply.correlation == Correlation(1));
    REQUIRE(reply.answer);
    CHECK(reply.answer->outputs == std::vector<std::string>{"0", "1", "2"});
    out.clear();
    agent->handle(TimePoint(), EntryId, submitOf(1, 3), out);
    CHECK(out.starts.empty());
    CHECK(std::get<Reply>(out.messages.at(0).message).answer == reply.answer);
}

TEST_CASE("A cancel before the submit keeps the submit from running", "[core]")
{
    Outbox out;
    const auto agent = servingAgent(out);
    agent->handle(TimePoint(), EntryId, Cancel{Correlation(9), submitOf(1, 1).id}, out);
    agent->handle(TimePoint(), EntryId, submitOf(1, 1), out);
    CHECK(out.starts.empty());
    REQUIRE(out.messages.size() == 2);
    CHECK(std::get<Reply>(out.messages[1].message).answer->reason == Reason::CancelledBeforeStart);
}

// Guards against callers that raise themselves where the branch's operators do not allow it.
TEST_CASE("A request is raised to urgent only where the rule allows it", "[core]")
{
    for (const bool allowed : {false, true}) {
        Outbox out;
        const auto agent = servingAgent(out);
        auto rules = std::make_shared<RuleSet>();
        rules->branches["hinokuni"].kinds["fetch"].allowRaise = allowed;
        agent->setRules(TimePoint(), ConfigVersion(2), rules, out);
        ProcessInfo peer;
        peer.incarnation = Incarnation(20);
        peer.name = "peer";
        agent->peerUp(TimePoint(), peer, out);
        Heartbeat heartbeat;
        heartbeat.state = AgentState::Serving;
        heartbeat.load.slots = heartbeat.load.freeSlots = 8;
        agent->handle(TimePoint(), peer.incarnation, heartbeat, out);
        Submit submit = submitOf(1, 5);
        submit.job.urgentRequested = true;
        agent->handle(TimePoint(), EntryId, submit, out);
        const Reserve *reserve = nullptr;
        for (const Envelope &envelope : out.messages) {
            if (const auto *found = std::get_if<Reserve>(&envelope.message))
                reserve = found;
        }
        REQUIRE(reserve != nullptr);
        CHECK(reserve->urgency == (allowed ? Urgency::Urgent : Urgency::Normal));
    }
}

// Guards against an entry that was not linked when a home stopped and so never learns its
// successor.
TEST_CASE("A successor tells each entry that links which homes it answers for", "[core]")
{
    Outbox out;
    const auto agent = servingAgent(out);
    const Incarnation stopped(30);
    agent->handle(TimePoint(), stopped, Handover{stopped, 0, true, {}}, out);
    out.clear();
    ProcessInfo entry;
    entry.incarnation = EntryId;
    entry.role = ProcessRole::Entry;
    agent->peerUp(TimePoint(), entry, out);
    REQUIRE(out.messages.size() == 1);
    CHECK(out.messages[0].to == EntryId);
    const Succession succession = std::get<SuccessionNotice>(out.messages[0].message).succession;
    CHECK(succession == Succession{stopped, AgentId});
}

// Guards against entries that issue ids of a home which refuses each submission: a restarted agent
// without rules reported itself as serving.
TEST_CASE("An agent serves only when it has rules", "[core]")
{
    Outbox out;
    AgentCoreSettings settings;
    settings.self.incarnation = AgentId;
    const auto agent = AgentCore::create(settings, TimePoint()).value();
    UpstreamCapacity capacity;
    capacity.incarnation = 1;
    capacity.slots = 2;
    agent->upstreamAnnounced(TimePoint(), capacity, out);
    CHECK(agent->heartbeat(TimePoint()).state == AgentState::Starting);
    agent->setRules(TimePoint(), ConfigVersion(1), std::make_shared<RuleSet>(), out);
    CHECK(agent->heartbeat(TimePoint()).state == AgentState::Serving);
}

TEST_CASE("A task reported as not started is not started by a late bind", "[core]")
{
    const SubmissionId id(PeerId, IssuePeriod(1), Nonce(1));
    const TaskKey key{id, TaskIndex(0), TaskAttempt(1)};
    Outbox out;
    const auto agent = servingAgent(out);
    const Pull pull = pulledBy(*agent, id);
    agent->handle(TimePoint(), PeerId, TaskQuery{{key}}, out);
    REQUIRE(std::get<TaskState>(out.messages.at(0).message).tasks.at(0).status
            == TaskStatus::NotStarted);
    SECTION("while the tombstone is kept") { }
    SECTION("after the tombstone was acknowledged")
    {
        agent->handle(TimePoint(), PeerId, ResultAck{{key}}, out);
    }
    agent->handle(TimePoint(), PeerId,
                  Bind{pull.pull, id, {BoundTask{key.index, key.attempt, "x"}}, 0}, out);
    CHECK(out.starts.empty());
}

TEST_CASE("A bind is answered by at most one start, however often it arrives", "[core]")
{
    const SubmissionId id(PeerId, IssuePeriod(1), Nonce(1));
    const TaskKey key{id, TaskIndex(0), TaskAttempt(1)};
    Outbox out;
    const auto agent = servingAgent(out);
    const Pull pull = pulledBy(*agent, id);
    const Bind bind{pull.pull, id, {BoundTask{key.index, key.attempt, "x"}}, 0};
    agent->handle(TimePoint(), PeerId, bind, out);
    agent->handle(TimePoint(), PeerId, bind, out);
    agent->taskFinished(TimePoint(), key, TaskOutcome{true, "y", {}, {}}, out);
    agent->handle(TimePoint(), PeerId, ResultAck{{key}}, out);
    agent->handle(TimePoint(), PeerId, bind, out);
    CHECK(out.starts.size() == 1);
}

TEST_CASE("A repeated pull gets the same tasks and no others", "[core]")
{
    Outbox out;
    const auto agent = servingAgent(out);
    agent->peerUp(TimePoint(), peerAgent(), out);
    agent->handle(TimePoint(), EntryId, submitOf(1, 5), out);
    out.clear();
    const Pull pull{PullNumber(3), submitOf(1, 5).id, 2};
    agent->handle(TimePoint(), PeerId, pull, out);
    agent->handle(TimePoint(), PeerId, pull, out);
    REQUIRE(out.messages.size() == 2);
    const Bind first = std::get<Bind>(out.messages[0].message);
    CHECK(first.tasks.size() == 2);
    CHECK(first == std::get<Bind>(out.messages[1].message));
}

TEST_CASE("An agent in an evacuated data centre pulls nothing and serves when it is taken back",
          "[core]")
{
    Outbox out;
    const auto agent = servingAgent(out);
    const SubmissionId id(PeerId, IssuePeriod(1), Nonce(5));
    const Pull pull = pulledBy(*agent, id);
    auto rules = std::make_shared<RuleSet>();
    // The agent of this file has no name of a data centre.
    rules->evacuated.insert("");
    agent->setRules(TimePoint(), ConfigVersion(2), rules, out);
    CHECK(agent->state() == AgentState::Starting);
    // The answer to the pull is on its way: the task is not started.
    out = Outbox();
    agent->handle(TimePoint(), PeerId, Bind{pull.pull, id, {{}}, 0}, out);
    CHECK(out.starts.empty());
    REQUIRE(out.messages.size() == 1);
    CHECK(std::get<TaskState>(out.messages[0].message).tasks[0].status == TaskStatus::NotStarted);
    UpstreamCapacity capacity{1, 2};
    agent->upstreamAnnounced(TimePoint(), capacity, out);
    CHECK(agent->state() == AgentState::Starting);
    agent->setRules(TimePoint(), ConfigVersion(3), std::make_shared<RuleSet>(), out);
    agent->upstreamAnnounced(TimePoint(), capacity, out);
    CHECK(agent->state() == AgentState::Serving);
}
