// Guards against entries that agents never learn of, and entries that stay listed after they stop.
#include "core/entryregistry.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;

namespace {

constexpr Duration Interval{10'000'000};

ProcessInfo entryInfo(std::uint64_t incarnation)
{
    ProcessInfo info;
    info.incarnation = Incarnation(incarnation);
    info.role = ProcessRole::Entry;
    info.name = "entry-" + std::to_string(incarnation);
    info.dataCentre = "fukuoka";
    info.region = "kyushu";
    info.address = "127.0.0.1:" + std::to_string(incarnation);
    info.state = AgentState::Serving;
    return info;
}

// Runs one update of an entry against the table; returns false if it requested no read.
bool runRound(EntryRegistry &rows, TimePoint now, std::vector<TableRow> &table)
{
    EntryRegistryOutbox out;
    rows.advance(now, out);
    if (!out.list)
        return false;
    rows.listed(table, out);
    REQUIRE(out.write);
    auto row = std::find_if(table.begin(), table.end(),
                            [&](const TableRow &r) { return r.key == out.write->key; });
    if (row == table.end())
        row = table.insert(table.end(), TableRow{out.write->key, 0, {}});
    CHECK(out.write->expectedVersion == row->version);
    *row = {out.write->key, row->version + 1, out.write->value};
    rows.written();
    return true;
}

} // namespace

TEST_CASE("Entries find each other through the table", "[entry]")
{
    std::vector<TableRow> table{{"directory/entry/broken", 3, "{"}};
    TimePoint now;
    EntryRegistry first(entryInfo(1), Interval, now);
    EntryRegistry second(entryInfo(2), Interval, now);
    CHECK(runRound(first, now, table));
    CHECK_FALSE(runRound(first, now, table));
    CHECK(runRound(second, now, table));
    CHECK(second.entries() == std::vector{entryInfo(1)});
    now += Interval;
    CHECK(runRound(first, now, table));
    CHECK(first.entries() == std::vector{entryInfo(2)});

    // The second entry has ended: its row stays, but does not change any more.
    for (int i = 0; i < 5; ++i) {
        now += Interval;
        CHECK(runRound(first, now, table));
    }
    CHECK(first.entries().empty());
}

TEST_CASE("Known entries are kept while the table is down", "[entry]")
{
    std::vector<TableRow> table;
    TimePoint now;
    EntryRegistry first(entryInfo(1), Interval, now);
    EntryRegistry second(entryInfo(2), Interval, now);
    runRound(second, now, table);
    runRound(first, now, table);
    for (int i = 0; i < 20; ++i) {
        now += Interval;
        EntryRegistryOutbox out;
        first.advance(now, out);
        CHECK(out.list);
        first.listed(std::nullopt, out);
        CHECK_FALSE(out.write);
    }
    CHECK(first.entries() == std::vector{entryInfo(2)});
}
