// Guards against answers that reach the wrong caller, partial answers, false statements about
// silent, stopped or lost homes, and calls that never end.
#include "entryfixture.h"

using namespace Bluebellquay;

namespace {

bool isUnknown(const std::optional<Answer> &answer, Reason reason, bool askAgain)
{
    return answer && answer->outcome == Outcome::Unknown && answer->reason == reason
        && answer->retryAfter.has_value() == askAgain;
}

bool isSilent(const std::optional<Answer> &answer)
{
    return isUnknown(answer, Reason::HomeSilent, true);
}

bool isGone(const std::optional<Answer> &answer)
{
    return isUnknown(answer, Reason::HomeGone, false);
}

ProcessInfo replacementOf(std::uint64_t old, std::uint64_t incarnation)
{
    ProcessInfo info = EntryFixture::agent(incarnation);
    info.name = EntryFixture::agent(old).name;
    return info;
}

SuccessionNotice succession(std::uint64_t gone, std::uint64_t successor)
{
    return SuccessionNotice{Succession{Incarnation(gone), Incarnation(successor)}};
}

} // namespace

TEST_CASE("A call goes to the home that its id names and ends with its answer", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.link(EntryFixture::agent(20));
    const CallId call = entry.submit(sampleSubmit(entry.newId(20), 2));
    CHECK(entry.sentTo<Submit>(10).empty());
    REQUIRE(entry.sentTo<Submit>(20).size() == 1);
    const Submit submit = entry.sentTo<Submit>(20)[0];
    CHECK(submit.job.tasks.size() == 2);
    entry.reply(20, submit, ReplyKind::Running);
    CHECK(entry.open(call));
    entry.reply(20, submit, ReplyKind::Final, EntryFixture::completed({"a", "b"}));
    REQUIRE(entry.answer(call));
    CHECK(entry.answer(call)->outputs == std::vector<std::string>{"a", "b"});
    // A repeated reply finds no call.
    entry.reply(20, submit, ReplyKind::Final, EntryFixture::completed({"a", "b"}));
    CHECK(entry.core->statistics().repliesIgnored == 1);
}

TEST_CASE("A reply of another process or about another id reaches no caller", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.link(EntryFixture::agent(20));
    const CallId first = entry.submit(entry.newId(10));
    const CallId second = entry.submit(entry.newId(10));
    const auto submits = entry.sentTo<Submit>(10);
    entry.reply(20, submits[0], ReplyKind::Final, EntryFixture::completed({"forged"}));
    Submit crossed = submits[0];
    crossed.id = submits[1].id;
    entry.reply(10, crossed, ReplyKind::Final, EntryFixture::completed({"crossed"}));
    CHECK(entry.open(first));
    CHECK(entry.open(second));
    entry.reply(10, submits[1], ReplyKind::Final, EntryFixture::completed({"second"}));
    entry.reply(10, submits[0], ReplyKind::Final, EntryFixture::completed({"first"}));
    CHECK(entry.answer(first)->outputs[0] == "first");
    CHECK(entry.answer(second)->outputs[0] == "second");
}

TEST_CASE("A partial answer reaches no caller", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId call = entry.submit(sampleSubmit(entry.newId(10), 2));
    entry.reply(10, entry.sentTo<Submit>(10)[0], ReplyKind::Final, EntryFixture::completed({"a"}));
    CHECK(isSilent(entry.answer(call)));
    const CallId failed = entry.await(entry.newId(10));
    Answer answer{Outcome::Failed, Reason::TaskFailed, {}, std::nullopt, {"a"}};
    entry.reply(10, entry.sentTo<Await>(10)[0], ReplyKind::Final, answer);
    CHECK(isSilent(entry.answer(failed)));
    CHECK(entry.core->statistics().repliesInvalid == 2);
}

TEST_CASE("A call to a silent home ends at the caller's timeout with unknown", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId call = entry.submit(entry.newId(10));
    entry.pass(Duration(940'000));
    CHECK(entry.open(call));
    entry.pass(Duration(20'000)); // The rest of the second is reserved for returning the answer.
    CHECK(isSilent(entry.answer(call)));
    REQUIRE(entry.sentTo<StopWaiting>(10).size() == 1);
    const Submit submit = entry.sentTo<Submit>(10)[0];
    CHECK(entry.sentTo<StopWaiting>(10)[0].correlation == submit.correlation);
    entry.reply(10, submit, ReplyKind::Final, EntryFixture::completed({"late"}));
    CHECK(isSilent(entry.answer(call)));
}

TEST_CASE("A call without a timeout ends all the same", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId call = entry.submit(sampleSubmit(entry.newId(10)), std::nullopt);
    const CallId endless = entry.submit(sampleSubmit(entry.newId(10)), Duration::max());
    entry.pass(Duration(61'000'000));
    CHECK(isSilent(entry.answer(call)));
    CHECK(entry.open(endless));
    entry.pass(Duration(600'000'000));
    CHECK(isSilent(entry.answer(endless)));
}

TEST_CASE("Open calls are sent again when a link to the home comes back", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.unlink(10);
    const CallId before = entry.submit(entry.newId(10)); // Not sent to the home yet.
    CHECK(entry.sentTo<Submit>(10).empty());
    entry.link(EntryFixture::agent(10));
    REQUIRE(entry.sentTo<Submit>(10).size() == 1);
    entry.unlink(10);
    entry.link(EntryFixture::agent(10));
    const auto submits = entry.sentTo<Submit>(10);
    REQUIRE(submits.size() == 2);
    // One waiter at the home: the same call under the same number.
    CHECK(submits[0] == submits[1]);
    CHECK(entry.core->statistics().callsResent == 1);
    entry.reply(10, submits[0], ReplyKind::Final, EntryFixture::completed({"a"}));
    CHECK(entry.answer(before));
    entry.link(EntryFixture::agent(10));
    CHECK(entry.sentTo<Submit>(10).size() == 2);
}

TEST_CASE("A home that was never heard of gets some time to dial in", "[entry]")
{
    EntryFixture entry;
    const auto timeout = Duration(20'000'000);
    const CallId forged = entry.submit(sampleSubmit(entry.newId(99)), timeout);
    const CallId early = entry.submit(sampleSubmit(entry.newId(10)), timeout);
    entry.pass(Duration(4'000'000));
    entry.link(EntryFixture::agent(10));
    entry.pass(Duration(2'000'000));
    CHECK(isSilent(entry.answer(forged)));
    CHECK(entry.open(early)); // After the connection, the home gets the caller's whole timeout.
    entry.reply(10, entry.sentTo<Submit>(10)[0], ReplyKind::Final, EntryFixture::completed({"a"}));
    CHECK(entry.answer(early));
}

TEST_CASE("A home whose name or address another run has taken is gone", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const SubmissionId id = entry.newId(10);
    const CallId open = entry.submit(id);
    entry.unlink(10);
    CHECK(entry.open(open)); // A silent home does not count as gone.
    entry.link(replacementOf(10, 11));
    CHECK(isGone(entry.answer(open)));
    CHECK(isGone(entry.answer(entry.await(id))));
    // The old process was only paused and connects again.
    entry.link(EntryFixture::agent(10));
    CHECK(entry.open(entry.await(id)));

    entry.link(EntryFixture::agent(30));
    entry.unlink(30);
    ProcessInfo sameAddress = EntryFixture::agent(31);
    sameAddress.address = EntryFixture::agent(30).address;
    entry.link(sameAddress);
    CHECK(isGone(entry.answer(entry.await(entry.newId(30)))));
}

TEST_CASE("A home that said it is gone, without a successor, is gone", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId call = entry.submit(sampleSubmit(entry.newId(10)), Duration(30'000'000));
    entry.beat(Incarnation(10), AgentState::Gone);
    entry.unlink(10);
    entry.pass(Duration(4'000'000));
    CHECK(entry.open(call)); // Its successor may be named yet.
    entry.pass(Duration(3'000'000));
    CHECK(isGone(entry.answer(call)));
}

TEST_CASE("A successor answers for a stopped home", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.link(EntryFixture::agent(20));
    const SubmissionId id = entry.newId(10);
    const CallId open = entry.await(id);
    entry.core->handle(entry.now, succession(10, 20), entry.out);
    entry.collect();
    REQUIRE(entry.sentTo<Await>(20).size() == 1);
    // Replies of the stopped home are ignored, except for a final answer sent before the
    // succession.
    entry.reply(10, entry.sentTo<Await>(10)[0], ReplyKind::WrongHome);
    CHECK(entry.open(open));
    entry.reply(10, entry.sentTo<Await>(10)[0], ReplyKind::Final, EntryFixture::completed({"a"}));
    CHECK(entry.answer(open)->outputs.size() == 1);

    entry.unlink(10);
    const CallId later = entry.await(id);
    REQUIRE(entry.sentTo<Await>(20).size() == 2);
    entry.reply(20, entry.sentTo<Await>(20)[1], ReplyKind::WrongHome);
    CHECK(isGone(entry.answer(later)));

    // The successor is stopped in turn.
    entry.link(EntryFixture::agent(30));
    entry.core->handle(entry.now, succession(20, 30), entry.out);
    entry.core->handle(entry.now, succession(30, 10), entry.out); // A cycle is ignored.
    entry.await(id);
    entry.await(entry.newId(20));
    CHECK(entry.sentTo<Await>(30).size() == 2);
}

TEST_CASE("Replies that are no answers are told as what they are", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId mismatch = entry.submit(entry.newId(10));
    const CallId full = entry.submit(entry.newId(10));
    const CallId detached = [&] {
        auto request = sampleSubmit(entry.newId(10));
        request.set_detach(true);
        return entry.submit(request);
    }();
    const auto submits = entry.sentTo<Submit>(10);
    entry.reply(10, submits[0], ReplyKind::BodyMismatch);
    CHECK(entry.error(mismatch) == CallErrorKind::AlreadyExists);
    entry.reply(10, submits[1], ReplyKind::NotSeen);
    CHECK(entry.error(full) == CallErrorKind::Unavailable);
    entry.reply(10, submits[2], ReplyKind::Running);
    CHECK_FALSE(entry.open(detached));
    const CallId unseen = entry.await(entry.newId(10));
    entry.reply(10, entry.sentTo<Await>(10)[0], ReplyKind::NotSeen);
    CHECK(entry.error(unseen) == CallErrorKind::NotFound);
    const CallId handingOver = entry.await(entry.newId(10));
    entry.reply(10, entry.sentTo<Await>(10)[1], ReplyKind::WrongHome);
    CHECK(isSilent(entry.answer(handingOver)));
}

TEST_CASE("A caller that leaves is reported to the home and gets nothing", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId call = entry.await(entry.newId(10));
    entry.core->callerLeft(call, entry.out);
    entry.core->callerLeft(call, entry.out);
    entry.collect();
    CHECK(entry.sentTo<StopWaiting>(10).size() == 1);
    entry.reply(10, entry.sentTo<Await>(10)[0], ReplyKind::Final, EntryFixture::completed({"a"}));
    CHECK(entry.open(call));
    CHECK(entry.core->openCalls() == 0);
}

TEST_CASE("An overloaded entry says not run only after the home has recorded it", "[entry]")
{
    EntryCoreSettings settings;
    settings.maxCalls = 10;
    settings.urgentReserve = 0.2;
    EntryFixture entry(settings);
    entry.link(EntryFixture::agent(10));
    for (int i = 0; i < 8; ++i)
        entry.submit(entry.newId(10));
    const CallId refused = entry.submit(entry.newId(10));
    CHECK(entry.sentTo<Submit>(10).size() == 8);
    REQUIRE(entry.sentTo<Refuse>(10).size() == 1);
    CHECK(entry.open(refused));
    const Answer notRun{Outcome::NotRun, Reason::Overload, {}, Duration(1'000'000), {}};
    entry.reply(10, entry.sentTo<Refuse>(10)[0], ReplyKind::Final, notRun);
    CHECK(entry.answer(refused) == notRun);

    // Another copy of the submission was there first.
    const CallId running = entry.submit(entry.newId(10));
    entry.reply(10, entry.sentTo<Refuse>(10)[1], ReplyKind::Running);
    CHECK_FALSE(entry.open(running));
    CHECK_FALSE(entry.answer(running));

    // Urgent work has a share of its own; above all calls, nothing is claimed.
    auto urgent = sampleSubmit(entry.newId(10));
    urgent.mutable_job()->set_branch("maras");
    urgent.mutable_job()->set_kind("closing");
    urgent.mutable_job()->set_team("scale");
    const std::string exceptions = "\x12\x01m\x1a\x01p"; // member and pan
    urgent.mutable_job()->mutable_exceptions()->set_type_url("t/maras.v1.Exceptions");
    urgent.mutable_job()->mutable_exceptions()->set_value(exceptions);
    entry.submit(urgent);
    CHECK(entry.sentTo<Submit>(10).size() == 9);
    entry.await(entry.newId(10));
    CHECK(entry.error(entry.submit(urgent)) == CallErrorKind::ResourceExhausted);
}

TEST_CASE("Malformed ids and calls before the first rules are rejected", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    auto request = sampleSubmit(entry.newId(10));
    request.set_id(request.id() + " ");
    CHECK(entry.error(entry.submit(request)) == CallErrorKind::InvalidArgument);
    entry.core->setRules(nullptr);
    CHECK(entry.error(entry.submit(entry.newId(10))) == CallErrorKind::Unavailable);
    CHECK(entry.error(entry.await(entry.newId(10))) == CallErrorKind::Unavailable);
    CHECK_FALSE(entry.core->reserveIds(entry.now, 1));
    CHECK(entry.sentTo<Submit>(10).empty());
}

TEST_CASE("An agent is drained by its name", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.link(EntryFixture::agent(20));
    const auto drain = [&](const char *name) {
        const CallId call = entry.nextCall();
        entry.core->drain(entry.now, call, name, std::nullopt, entry.out);
        entry.collect();
        return call;
    };
    CHECK(entry.error(drain("agent-99")) == CallErrorKind::NotFound);
    const CallId call = drain("agent-20");
    CHECK(entry.sentTo<Drain>(10).empty());
    REQUIRE(entry.sentTo<Drain>(20).size() == 1);
    const DrainAck ack{entry.sentTo<Drain>(20)[0].correlation, AgentState::Leaving};
    entry.core->handle(Incarnation(10), ack, entry.out);
    entry.collect();
    CHECK(entry.open(call));
    entry.core->handle(Incarnation(20), ack, entry.out);
    entry.collect();
    CHECK(std::get<DrainState>(entry.ends.at(call)).state == AgentState::Leaving);
    const CallId silent = drain("agent-10");
    entry.pass(Duration(61'000'000));
    CHECK(entry.error(silent) == CallErrorKind::Unavailable);
}

TEST_CASE("Agents get the directory on change and every 10 s", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    entry.pass(Duration(10'000));
    const auto directories = [&] { return entry.sentTo<Directory>(10); };
    const std::size_t before = directories().size();
    REQUIRE(before >= 1);
    CHECK(directories().back().processes.size() == 2); // The agent and the entry.
    entry.pass(Duration(10'000'000));
    CHECK(directories().size() == before + 1);
    entry.link(EntryFixture::agent(20));
    entry.beat(Incarnation(20), AgentState::Leaving);
    entry.core->handle(entry.now, succession(30, 20), entry.out);
    entry.pass(Duration(10'000));
    REQUIRE(directories().size() == before + 2);
    CHECK(directories().back().successions.size() == 1);
    // A process without a link leaves the directory after half a minute.
    entry.unlink(20);
    entry.pass(Duration(25'000'000));
    CHECK(directories().back().processes.size() == 3);
    entry.pass(Duration(10'000'000));
    CHECK(directories().back().processes.size() == 2);
}

TEST_CASE("A stopping entry ends its open calls with unknown, ask again", "[entry]")
{
    EntryFixture entry;
    entry.link(EntryFixture::agent(10));
    const CallId call = entry.submit(entry.newId(10));
    const CallId unsent = entry.await(entry.newId(99));
    entry.core->endCalls(entry.out);
    entry.collect();
    CHECK(isSilent(entry.answer(call)));
    CHECK(isSilent(entry.answer(unsent)));
    CHECK(entry.sentTo<StopWaiting>(10).size() == 1);
}
