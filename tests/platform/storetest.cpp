// Guards the following of the store's tables: changes arrive in order, a dropped history is read
// anew, an outage is survived, and the configuration's version never falls.
#include "core/evacuations.h"
#include "platform/advertisement.h"
#include "platform/configrelay.h"
#include "platform/evacuationrows.h"
#include "platform/tablewatch.h"
#include "standins/platformstore.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <set>
#include <utility>

using namespace Bluebellquay;
using namespace Bluebellquay::Platform;
using namespace std::chrono_literals;

namespace {

class StoreFixture
{
public:
    StoreFixture()
        : store(context, timers, 1)
        , client(context, timers, {boost::asio::ip::address_v4::loopback(), store.port()})
        , watch(client, timers, "op", FeedPace(), [this](bool whole, const StoreRows &rows) {
            if (const auto notice = evacuationRows.update(whole, rows))
                evacuations.offer(*notice);
            for (const StoreRow &row : rows.rows)
                values[row.key] = row.value;
            if (atChange)
                std::exchange(atChange, {})();
        })
    { }

    template <typename Condition>
    void until(Condition condition)
    {
        for (int i = 0; i < 8'000 && !condition(); ++i)
            context.run_one_for(1ms);
        REQUIRE(condition());
    }

    boost::asio::io_context context;
    TimerService timers{context};
    Testing::PlatformStore store;
    StoreClient client;
    TableWatch watch;
    std::map<std::string, std::string> values;
    // Called once, with the next rows, before the watch makes its next call.
    std::function<void()> atChange;
    EvacuationRows evacuationRows;
    Evacuations evacuations;
};

Heartbeat heartbeatOf(std::uint64_t version)
{
    Heartbeat heartbeat;
    heartbeat.configVersion = ConfigVersion(version);
    return heartbeat;
}

ConfigDocument document(std::uint64_t version)
{
    return {ConfigVersion(version), {}, "text " + std::to_string(version)};
}

} // namespace

TEST_CASE_METHOD(StoreFixture, "a table is read whole, then its changes arrive")
{
    store.put("op", "config", "one");
    watch.start();
    until([&] { return values["config"] == "one"; });
    store.put("op", "config", std::string("two\0\xff", 5));
    until([&] { return values["config"] == std::string("two\0\xff", 5); });
    store.put("other", "config", "three");
    store.put("op", "wave/1", "four");
    until([&] { return values["wave/1"] == "four"; });
    CHECK(values["config"] == std::string("two\0\xff", 5));
}

TEST_CASE_METHOD(StoreFixture, "a table is read anew when the store has dropped its history")
{
    store.put("op", "config", "one");
    watch.start();
    until([&] { return values["config"] == "one"; });
    store.setMode(Testing::StoreMode::Refusing);
    store.put("op", "config", "two");
    store.put("op", "config", "three");
    store.forgetHistory();
    store.setMode(Testing::StoreMode::Serving);
    store.put("op", "other", "x");
    until([&] { return values["config"] == "three"; });
}

TEST_CASE_METHOD(StoreFixture,
                 "evacuations begin and end with their rows, also if those are dropped")
{
    store.put("op", "evacuate/kumamoto", "{}");
    watch.start();
    until([&] { return evacuations.known(); });
    CHECK(evacuations.dataCentres() == std::set<std::string>{"kumamoto"});
    store.put("op", "evacuate/fukuoka", "no object");
    until([&] { return evacuations.dataCentres().size() == 2; });
    const EvacuationVersion before = evacuations.version();
    store.put("op", "config", "one");
    until([&] { return values["config"] == "one"; });
    CHECK(evacuations.version() == before);
    store.remove("op", "evacuate/kumamoto");
    until([&] { return evacuations.mayStart("kumamoto"); });
    store.setMode(Testing::StoreMode::Refusing);
    store.remove("op", "evacuate/fukuoka");
    store.forgetHistory();
    store.setMode(Testing::StoreMode::Serving);
    store.put("op", "other", "x");
    until([&] { return evacuations.dataCentres().empty(); });
}

TEST_CASE_METHOD(StoreFixture,
                 "a key of any characters at the end of a page does not end the reading")
{
    for (const std::string key : {"a&b=1", "c#d", "e%41", "f g", "h+i", "j\"k", "l\xc3\xbc", "z"})
        store.put("op", key, "one");
    const std::size_t rows = GENERATE(1, 2, 3);
    store.setPageRows(rows);
    watch.start();
    until([&] { return watch.connected(); });
    CHECK(values.size() == 8);
    store.put("op", "z", "two");
    until([&] { return values["z"] == "two"; });
}

// Seen on maras-coop, quiet-1: all entries had read the store before its first change, at version
// zero, and served nobody.
TEST_CASE_METHOD(StoreFixture, "a store without any change says that nothing is evacuated")
{
    watch.start();
    until([&] { return evacuations.known(); });
    CHECK(evacuations.mayStart("kumamoto"));
}

TEST_CASE_METHOD(StoreFixture, "an outage at the start is waited out")
{
    store.setMode(Testing::StoreMode::Refusing);
    watch.start();
    for (int i = 0; i < 300; ++i)
        context.run_one_for(1ms);
    CHECK_FALSE(watch.connected());
    store.put("op", "config", "one");
    store.setMode(Testing::StoreMode::Serving);
    until([&] { return values["config"] == "one"; });
}

TEST_CASE_METHOD(StoreFixture, "an entry is advertised although the first answer is lost")
{
    ProcessInfo self;
    self.name = "edge-1";
    self.address = "127.0.0.1:7700";
    Advertiser advertiser(client, timers, self);
    store.setMode(Testing::StoreMode::Silent);
    advertiser.start();
    for (int i = 0; i < 100; ++i)
        context.run_one_for(1ms);
    store.setMode(Testing::StoreMode::Serving);
    std::set<std::string> addresses;
    std::vector<std::string> written;
    EntryDirectory directory(
        client, timers, FeedPace(),
        [&](const EntryAddress &entry) { addresses.insert(entry.address); },
        [&](const EntryAddress &entry) { addresses.erase(entry.address); },
        [&](const EntryAddress &entry) { written.push_back(entry.address); });
    directory.start();
    until([&] { return addresses.contains("127.0.0.1:7700"); });
    CHECK(written.empty());
    // It has started again.
    advertiser.start();
    until([&] { return !written.empty(); });
    CHECK(written.front() == "127.0.0.1:7700");
}

// Seen on the grown hinokuni-archive, trouble-3: each agent asked each entry for a large document
// at once, and the links fell silent.
TEST_CASE("a newer configuration is waited for, then asked of one peer at a time")
{
    std::vector<Message> sent;
    ConfigRelay relay(
        {400ms, 400ms}, [](const ConfigDocument &) { return true; },
        [&](Incarnation, const Message &message) { sent.push_back(message); });
    CHECK(relay.offer(document(5)));
    Heartbeat heartbeat;
    heartbeat.configVersion = ConfigVersion(7);
    TimePoint now{10s};
    relay.heard(now, Incarnation(1), heartbeat);
    relay.heard(now + 399ms, Incarnation(2), heartbeat);
    CHECK(sent.empty());
    relay.heard(now + 400ms, Incarnation(1), heartbeat);
    relay.heard(now + 401ms, Incarnation(2), heartbeat);
    REQUIRE(sent.size() == 1);
    CHECK(std::get<ConfigRequest>(sent[0]).above == ConfigVersion(5));
    // The peer does not answer: another one is asked.
    relay.heard(now + 1500ms, Incarnation(2), heartbeat);
    CHECK(sent.size() == 2);
    CHECK(relay.offer(document(7)));
    relay.heard(now + 3s, Incarnation(2), heartbeat);
    CHECK(sent.size() == 2);
}

TEST_CASE("the version of the configuration never falls")
{
    std::vector<Message> sent;
    std::vector<std::uint64_t> taken;
    ConfigRelay relay(
        {},
        [&](const ConfigDocument &offered) {
            taken.push_back(offered.version.value());
            return true;
        },
        [&](Incarnation, const Message &message) { sent.push_back(message); });
    CHECK(relay.offer(document(5)));
    CHECK_FALSE(relay.offer(document(4)));
    CHECK_FALSE(relay.offer(document(5)));
    relay.requested(Incarnation(2), ConfigRequest{ConfigVersion(3)});
    REQUIRE(sent.size() == 1);
    CHECK(std::get<ConfigDocument>(sent[0]).version == ConfigVersion(5));
    relay.requested(Incarnation(2), ConfigRequest{ConfigVersion(5)});
    CHECK(sent.size() == 1);
    CHECK(taken == std::vector<std::uint64_t>{5});
}

TEST_CASE("a document that the caller has checked is taken without the handler, if it is newer")
{
    int checks = 0;
    ConfigRelay relay(
        {},
        [&](const ConfigDocument &) {
            ++checks;
            return true;
        },
        [](Incarnation, const Message &) {});
    CHECK(relay.offerChecked(document(5)));
    CHECK_FALSE(relay.offerChecked(document(5)));
    CHECK_FALSE(relay.offerChecked(document(4)));
    CHECK(relay.version() == ConfigVersion(5));
    CHECK(checks == 0);
}

// Seen in the incident of the grown hinokuni-archive: 70 agents asked for a document of 1 MB within
// seconds of each change, although every entry had it.
TEST_CASE("an agent asks for a newer configuration late, but soon while a peer of it is behind")
{
    std::vector<Incarnation> asked;
    ConfigRelay relay(
        {1s, 10s}, [](const ConfigDocument &) { return true; },
        [&](Incarnation to, const Message &) { asked.push_back(to); });
    CHECK(relay.offer(document(5)));
    const auto hear = [&](Duration at, std::uint64_t peer, std::uint64_t version) {
        relay.heard(TimePoint(10s) + at, Incarnation(peer), heartbeatOf(version));
        return asked.size();
    };
    CHECK(hear(0s, 1, 5) + hear(0s, 2, 5) == 0);
    CHECK(hear(100ms, 1, 7) + hear(600ms, 2, 7) == 0);
    CHECK(hear(2s, 1, 7) + hear(9s, 2, 7) == 0);
    // A third entry is cut off from the store.
    CHECK(hear(9s, 3, 5) == 0);
    SECTION("which its peers answer")
    {
        // Of two newer versions the newest is requested first.
        CHECK(hear(9100ms, 2, 8) == 1);
        CHECK(asked[0] == Incarnation(2));
        CHECK(relay.offer(document(8)));
        CHECK(hear(30s, 2, 8) == 1);
    }
    SECTION("which is then gone")
    {
        relay.peerDown(Incarnation(3));
        CHECK(hear(9100ms, 2, 7) == 0);
        CHECK(hear(10'200ms, 1, 7) == 1);
    }
    SECTION("and the peer with the newest version does not answer")
    {
        CHECK(hear(9100ms, 2, 8) == 1);
        CHECK(hear(9500ms, 1, 7) == 1);
        CHECK(hear(10'200ms, 1, 7) == 2);
    }
}

// Guards against a configuration that is not known for 22 s: the silent store has lost the call
// that was to bring it.
TEST_CASE_METHOD(StoreFixture, "a change arrives soon after an outage that has met the call for it")
{
    // After the last answer, or after a further call that is not answered either.
    const Duration outage = GENERATE(500ms, 3'500ms);
    store.put("op", "config", "one");
    atChange = [this] { store.setMode(Testing::StoreMode::Silent); };
    watch.start();
    until([&] { return values["config"] == "one"; });
    const TimePoint end = timers.now() + outage;
    until([&] { return timers.now() >= end; });
    store.setMode(Testing::StoreMode::Serving);
    store.put("op", "config", "two");
    until([&] { return values["config"] == "two"; });
    const Duration known = FeedPace().wait + FeedSchedule::AnswerTime;
    CHECK(timers.now() - end < known + 250ms);
    CHECK(watch.unanswered() > 0);
}
