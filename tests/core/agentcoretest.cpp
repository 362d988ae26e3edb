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
