// Guards against a table stand-in that loses compare-and-set, or whose faults are not what tests of
// the entry rely on.
#include "standins/tablestandin.h"
#include "standins/standinfixture.h"

using namespace Bluebellquay;
using namespace platform::v1;
using standins::v1::TableFaults;
using standins::v1::TableState;

namespace {

class TableFixture : public StandinFixture
{
protected:
    static PutRequest putRequest(const std::string &key, std::uint64_t expected,
                                 const std::string &value)
    {
        PutRequest request;
        request.set_key(key);
        request.set_expected_version(expected);
        request.set_value(value);
        return request;
    }
    ConnectResult<PutResponse> tryPut(const std::string &key, std::uint64_t expected,
                                      const std::string &value, Duration timeout = Limit)
    {
        return call<PutResponse>(m_table->port(), "platform.v1.Table/Put",
                                 putRequest(key, expected, value), timeout);
    }
    PutResponse put(const std::string &key, std::uint64_t expected, const std::string &value)
    {
        return std::get<PutResponse>(tryPut(key, expected, value));
    }
    GetResponse get(const std::string &key)
    {
        GetRequest request;
        request.set_key(key);
        return mustCall<GetResponse>(m_table->port(), "platform.v1.Table/Get", request);
    }
    TableState state()
    {
        return mustCall<TableState>(m_table->port(), "standins.v1.TableControl/GetState",
                                    standins::v1::GetStateRequest());
    }
    TableState setFaults(const TableFaults &faults)
    {
        return mustCall<TableState>(m_table->port(), "standins.v1.TableControl/SetFaults", faults);
    }

    std::unique_ptr<TableStandin> m_table =
        TableStandin::create(m_context, m_timers, anyPort()).value();
};

} // namespace

TEST_CASE_METHOD(TableFixture, "A row is written only over the expected version", "[standins]")
{
    CHECK_FALSE(get("a").found());
    CHECK(put("a", 0, "first").version() == 1);
    const PutResponse conflict = put("a", 0, "second");
    CHECK_FALSE(conflict.ok());
    CHECK(conflict.version() == 1);
    CHECK(get("a").value() == "first");
    CHECK(put("a", 1, "third").ok());
    CHECK(get("a").version() == 2);
    CHECK_FALSE(put("b", 1, "x").ok());
    CHECK_FALSE(get("b").found());
}

TEST_CASE_METHOD(TableFixture, "List gives the rows of a prefix in order", "[standins]")
{
    for (const char *key : {"d/b", "c", "d/a", "e"})
        put(key, 0, key);
    ListRequest request;
    request.set_prefix("d/");
    const auto rows =
        mustCall<ListResponse>(m_table->port(), "platform.v1.Table/List", request).rows();
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].key() == "d/a");
    CHECK(rows[1].value() == "d/b");
}

TEST_CASE_METHOD(TableFixture, "A table that is down has no effect and says so", "[standins]")
{
    TableFaults faults;
    faults.set_down(true);
    setFaults(faults);
    const auto result = tryPut("a", 0, "x");
    REQUIRE(std::holds_alternative<ConnectError>(result));
    CHECK(std::get<ConnectError>(result).code == ConnectCode::Unavailable);
    setFaults({});
    CHECK_FALSE(get("a").found());
}

TEST_CASE_METHOD(TableFixture, "A silent table answers nothing and has no effect", "[standins]")
{
    TableFaults faults;
    faults.set_silent(true);
    setFaults(faults);
    const auto result = tryPut("a", 0, "x", std::chrono::milliseconds(50));
    REQUIRE(std::holds_alternative<ConnectError>(result));
    CHECK(std::get<ConnectError>(result).code == ConnectCode::DeadlineExceeded);
    setFaults({});
    CHECK_FALSE(get("a").found());
}

TEST_CASE_METHOD(TableFixture, "A write whose answer is dropped takes effect", "[standins]")
{
    TableFaults faults;
    faults.set_drop_write_answers(1);
    setFaults(faults);
    std::optional<ConnectResult<PutResponse>> result;
    send(m_table->port(), "platform.v1.Table/Put", putRequest("a", 0, "x"), result, Limit);
    REQUIRE(runUntil([&] { return state().dropped_answers() == 1; }));
    CHECK_FALSE(result);
    CHECK(get("a").version() == 1);
    CHECK(put("a", 1, "y").ok());
}

TEST_CASE_METHOD(TableFixture, "A slow table answers after its delay", "[standins]")
{
    constexpr std::uint32_t DelayMs = 60;
    TableFaults faults;
    faults.set_delay_ms(DelayMs);
    setFaults(faults);
    const TimePoint start = m_timers.now();
    CHECK(put("a", 0, "x").ok());
    CHECK(m_timers.now() - start >= std::chrono::milliseconds(DelayMs));
}
