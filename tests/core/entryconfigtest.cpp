// Guards against rules that revert, changes that are reported wrongly after lost answers or races,
// and an entry that serves with an outdated document.
#include "configfixture.h"

using namespace Bluebellquay;

namespace {

constexpr std::uint64_t Settled = 3'000'000;

// A ConfigManager whose table operations are answered by the test.
class ConfigManagerFixture
{
public:
    explicit ConfigManagerFixture(std::uint64_t startedFor = Settled)
        : manager({}, TimePoint())
        , now(Duration(startedFor))
    {
        advance();
        poll = out.reads.empty() ? TableOperation() : out.reads.front().operation;
        out.clear();
    }

    void advance() { manager.advance(now, out); }
    void pass(Duration time)
    {
        now += time;
        advance();
    }
    void apply(const ConfigChange &change)
    {
        manager.apply(now, CallId(++calls), change, Duration(10'000'000), out);
    }
    // Answers the read that was asked for last.
    void answerRead(const std::optional<TableRow> &row)
    {
        REQUIRE_FALSE(out.reads.empty());
        const TableOperation operation = out.reads.back().operation;
        out.reads.clear();
        manager.rowRead(now, operation, row, out);
    }
    TablePut takeWrite()
    {
        REQUIRE(out.writes.size() == 1);
        TablePut put = out.writes.front();
        out.writes.clear();
        return put;
    }
    void answerWrite(const TablePut &put, std::optional<TableWrite> write)
    {
        manager.rowWritten(now, put.operation, write, out);
    }
    std::optional<CallError> error() const
    {
        if (out.ends.empty())
            return std::nullopt;
        const auto *failure = std::get_if<CallError>(&out.ends.back().result);
        return failure == nullptr ? std::nullopt : std::optional(*failure);
    }
    // Zero unless the last change was applied.
    std::uint64_t applied() const
    {
        if (out.ends.empty())
            return 0;
        const auto *result = std::get_if<AppliedConfig>(&out.ends.back().result);
        return result == nullptr ? 0 : result->version.value();
    }

    ConfigManager manager;
    TimePoint now;
    ConfigOutbox out;
    TableOperation poll;
    std::uint64_t calls = 0;
};

const TableRow NoRow{"config/rules", 0, {}};

} // namespace

TEST_CASE("A change is written above the version it replaces", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.manager.rowRead(entry.now, entry.poll, row(4, document(9, "nine")), entry.out);
    CHECK(entry.manager.version() == ConfigVersion(9));
    entry.apply(change(9, "ten"));
    entry.answerRead(row(4, document(9, "nine")));
    const TablePut put = entry.takeWrite();
    CHECK(put.expectedVersion == 4);
    CHECK(parseConfigRow(put.value) == document(10, "ten"));
    CHECK(entry.applied() == 0);
    entry.answerWrite(put, TableWrite{true, 5});
    CHECK(entry.applied() == 10);
    CHECK(entry.manager.version() == ConfigVersion(10));
}

TEST_CASE("A lost race names the winner", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.apply(change(0, "mine"));
    entry.answerRead(NoRow);
    const TablePut put = entry.takeWrite();
    CHECK(put.expectedVersion == 0);
    entry.answerWrite(put, TableWrite{false, 1});
    entry.answerRead(row(1, document(1, "theirs")));
    REQUIRE(entry.error());
    CHECK(entry.error()->kind == CallErrorKind::Aborted);
    CHECK(entry.error()->message.find("version 1 (change id \"theirs\")") != std::string::npos);
    CHECK(entry.out.writes.empty());
}

TEST_CASE("A repeat after a lost answer recognises its own change", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.apply(change(0, "mine"));
    entry.answerRead(NoRow);
    entry.answerWrite(entry.takeWrite(),
                      std::nullopt); // The write took effect, but its answer was lost.
    CHECK(entry.out.ends.empty());
    entry.pass(Duration(200'000));
    entry.answerRead(std::nullopt);
    CHECK(entry.out.ends.empty());
    entry.pass(Duration(200'000));
    entry.answerRead(row(1, document(1, "mine")));
    CHECK(entry.applied() == 1);

    ConfigManagerFixture other; // The operator goes to another entry with the same change id.
    other.apply(change(0, "mine"));
    other.answerRead(row(1, document(1, "mine")));
    CHECK(other.applied() == 1);
    ConfigChange reused = change(0, "mine");
    reused.text = sampleDocument("another text");
    other.apply(reused);
    other.answerRead(row(1, document(1, "mine")));
    CHECK(other.error()->kind == CallErrorKind::AlreadyExists);
}

TEST_CASE("A change that was replaced before its repeat is still recognised", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.manager.handle(document(1, "mine"), entry.out);
    entry.manager.handle(document(2, "theirs"), entry.out);
    entry.apply(change(0, "mine"));
    entry.answerRead(row(2, document(2, "theirs")));
    CHECK(entry.applied() == 1);
}

TEST_CASE("A write without an answer is never reported as not written", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.apply(change(0, "first"));
    entry.answerRead(std::nullopt);
    REQUIRE(entry.error());
    CHECK(entry.error()->kind == CallErrorKind::Unavailable);
    CHECK(entry.error()->message.find("nothing was written") != std::string::npos);

    entry.apply(change(0, "second"));
    entry.answerRead(NoRow);
    entry.answerWrite(entry.takeWrite(), std::nullopt);
    entry.pass(Duration(10'000'000));
    REQUIRE(entry.out.ends.size() == 2);
    CHECK(entry.error()->message.find("not known") != std::string::npos);
    CHECK(entry.error()->message.find("\"second\"") != std::string::npos);
}

TEST_CASE("A write without an answer is repeated on the same row version only", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.apply(change(0, "mine"));
    entry.answerRead(NoRow);
    entry.answerWrite(entry.takeWrite(), std::nullopt);
    entry.pass(Duration(200'000));
    entry.answerRead(NoRow); // The write may still be under way.
    CHECK(entry.takeWrite().expectedVersion == 0);
}

TEST_CASE("A version never reverts", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.manager.handle(document(5, "five"), entry.out);
    CHECK(entry.out.changed);
    entry.out.clear();
    entry.manager.handle(document(4, "four"), entry.out);
    entry.manager.handle(document(5, "other five"), entry.out);
    entry.manager.rowRead(entry.now, entry.poll, row(1, document(3, "three")), entry.out);
    CHECK_FALSE(entry.out.changed);
    CHECK(entry.manager.current()->document == document(5, "five"));
    // The next change is written above both.
    entry.apply(change(3, "low"));
    entry.answerRead(row(1, document(3, "three")));
    CHECK(entry.error()->message.find("version 5 (change id \"five\")") != std::string::npos);
    entry.apply(change(5, "six"));
    entry.answerRead(row(1, document(3, "three")));
    CHECK(parseConfigRow(entry.takeWrite().value)->version == ConfigVersion(6));
}

TEST_CASE("A version that only a peer has counts, too", "[entry][config]")
{
    ConfigManagerFixture entry;
    entry.manager.peerVersion(entry.now, Incarnation(10), ConfigVersion(7), entry.out);
    REQUIRE(entry.out.messages.size() == 1);
    CHECK(std::get<ConfigRequest>(entry.out.messages[0].message).above == ConfigVersion(0));
    entry.apply(change(0, "mine"));
    entry.answerRead(NoRow);
    CHECK(entry.error()->kind == CallErrorKind::Aborted);
    entry.manager.handle(document(7, "seven"), entry.out);
    entry.out.clear();
    entry.manager.handle(Incarnation(20), ConfigRequest{ConfigVersion(6)}, entry.out);
    entry.manager.handle(Incarnation(20), ConfigRequest{ConfigVersion(7)}, entry.out);
    REQUIRE(entry.out.messages.size() == 1);
    CHECK(std::get<ConfigDocument>(entry.out.messages[0].message) == document(7, "seven"));
}

TEST_CASE("Documents are validated before they are written or put in force", "[entry][config]")
{
    ConfigManagerFixture entry;
    ConfigChange broken = change(0, "mine");
    broken.text = "[branch";
    entry.apply(broken);
    REQUIRE(entry.out.ends.size() == 1);
    CHECK_FALSE(std::get<AppliedConfig>(entry.out.ends[0].result).findings.empty());
    broken = change(0, "with space");
    entry.apply(broken);
    CHECK(entry.error()->kind == CallErrorKind::InvalidArgument);
    CHECK(entry.out.reads.empty());
    ConfigDocument invalid = document(3, "three");
    invalid.text = "[branch";
    entry.manager.handle(invalid, entry.out);
    CHECK_FALSE(entry.manager.current());
    // A row that can't be read may hold a higher version: it is not replaced.
    entry.apply(change(0, "mine"));
    entry.answerRead(TableRow{"config/rules", 8, "{\"version\":\"x\"}"});
    CHECK(entry.error()->kind == CallErrorKind::FailedPrecondition);
}

TEST_CASE("An entry serves only when no higher version is to be expected", "[entry][config]")
{
    ConfigManagerFixture entry(0);
    CHECK_FALSE(entry.manager.ready(entry.now + Duration(20'000'000))); // No document at all.
    entry.manager.rowRead(entry.now, entry.poll, row(1, document(3, "three")), entry.out);
    CHECK_FALSE(entry.manager.ready(entry.now)); // No peer was heard so far.
    entry.manager.peerVersion(entry.now, Incarnation(10), ConfigVersion(5), entry.out);
    CHECK_FALSE(entry.manager.ready(entry.now + Duration(Settled)));
    entry.manager.handle(document(5, "five"), entry.out);
    CHECK(entry.manager.ready(entry.now));
    // Once it serves, a higher version elsewhere does not stop it.
    entry.manager.peerVersion(entry.now, Incarnation(10), ConfigVersion(6), entry.out);
    CHECK(entry.manager.ready(entry.now));

    ConfigManagerFixture tableDown(0);
    tableDown.manager.rowRead(tableDown.now, tableDown.poll, std::nullopt, tableDown.out);
    tableDown.manager.peerVersion(tableDown.now, Incarnation(10), ConfigVersion(5), tableDown.out);
    tableDown.manager.handle(document(5, "five"), tableDown.out);
    CHECK_FALSE(tableDown.manager.ready(tableDown.now)); // Another peer may have a higher version.
    CHECK(tableDown.manager.ready(tableDown.now + Duration(Settled)));
}

TEST_CASE("A change waits until the peers of a new process were heard", "[entry][config]")
{
    ConfigManagerFixture entry(0);
    entry.apply(change(0, "mine"));
    CHECK(entry.out.reads.empty());
    entry.manager.peerVersion(entry.now, Incarnation(10), ConfigVersion(5), entry.out);
    entry.pass(Duration(Settled));
    entry.answerRead(NoRow);
    CHECK(entry.error()->kind == CallErrorKind::Aborted);
}

TEST_CASE("One read at a time is made while the table is slow", "[entry][config]")
{
    ConfigManagerFixture entry;
    for (int i = 0; i < 100; ++i)
        entry.pass(Duration(1'000'000));
    CHECK(entry.out.reads.empty());
    entry.manager.rowRead(entry.now, entry.poll, std::nullopt, entry.out);
    entry.advance();
    CHECK(entry.out.reads.size() == 1);
}
