// Guards against a table client that takes a failure for an answer or a lost answer for a failure.
#include "net/tableclient.h"
#include "standins/standinfixture.h"
#include "standins/tablestandin.h"

using namespace Bluebellquay;

namespace {

class TableClientFixture : public StandinFixture
{
protected:
    TableClientFixture()
    {
        m_client = TableClient::create(m_context, {address(m_table->port()), Duration(300'000)});
        REQUIRE(m_client);
    }

    // Outer nothing until there is a result, inner nothing if there was no answer.
    template <typename Result>
    std::optional<Result>
    resultOf(const std::function<void(std::function<void(std::optional<Result>)>)> &call)
    {
        std::optional<std::optional<Result>> result;
        call([&](std::optional<Result> answer) { result = std::move(answer); });
        CHECK_FALSE(result); // Never from within the call.
        REQUIRE(runUntil([&] { return result.has_value(); }));
        return *result;
    }
    std::optional<TableRow> get(const std::string &key)
    {
        return resultOf<TableRow>([&](auto done) { client().get(key, std::move(done)); });
    }
    std::optional<TableWrite> put(const std::string &key, std::uint64_t expected,
                                  const std::string &value)
    {
        return resultOf<TableWrite>([&](auto done) {
            client().put({TableOperation(), key, expected, value}, std::move(done));
        });
    }
    void setFaults(const standins::v1::TableFaults &faults)
    {
        mustCall<standins::v1::TableState>(m_table->port(), "standins.v1.TableControl/SetFaults",
                                           faults);
    }
    TableClient &client() { return *m_client.value(); }

    std::unique_ptr<TableStandin> m_table =
        TableStandin::create(m_context, m_timers, anyPort()).value();
    boost::leaf::result<std::unique_ptr<TableClient>> m_client{nullptr};
};

} // namespace

TEST_CASE_METHOD(TableClientFixture, "Rows are read, written and listed", "[table]")
{
    REQUIRE(get("a"));
    CHECK(get("a")->version == 0);
    const std::string value = "{\"text\": \"line\\n\xc3\xa9\"}";
    CHECK(put("a", 0, value)->ok);
    CHECK(get("a")->version == 1);
    CHECK(get("a")->value == value);
    const auto conflict = put("a", 0, "late");
    REQUIRE(conflict);
    CHECK_FALSE(conflict->ok);
    CHECK(conflict->version == 1);
    put("ab", 0, "b");
    put("b", 0, "c");
    const auto rows =
        resultOf<std::vector<TableRow>>([&](auto done) { client().list("a", std::move(done)); });
    REQUIRE(rows);
    REQUIRE(rows->size() == 2);
    CHECK((*rows)[1].key == "ab");
    CHECK((*rows)[1].value == "b");
}

TEST_CASE_METHOD(TableClientFixture, "A table that is down or silent gives no answer", "[table]")
{
    standins::v1::TableFaults faults;
    faults.set_down(true);
    setFaults(faults);
    CHECK_FALSE(get("a"));
    CHECK_FALSE(put("a", 0, "x"));
    faults.set_down(false);
    faults.set_silent(true);
    setFaults(faults);
    CHECK_FALSE(get("a"));
    CHECK_FALSE(
        resultOf<std::vector<TableRow>>([&](auto done) { client().list("a", std::move(done)); }));
    setFaults({});
    CHECK(get("a")->version == 0);
}

TEST_CASE_METHOD(TableClientFixture, "A lost answer is no answer, though the write took effect",
                 "[table]")
{
    standins::v1::TableFaults faults;
    faults.set_drop_write_answers(1);
    setFaults(faults);
    CHECK_FALSE(put("a", 0, "x"));
    CHECK(get("a")->version == 1);
    CHECK_FALSE(put("a", 0, "x")->ok);
}

TEST_CASE_METHOD(TableClientFixture, "A table that can't be reached gives no answer", "[table]")
{
    m_table.reset();
    CHECK_FALSE(get("a"));
    CHECK_FALSE(TableClient::create(m_context, {"table.example:80", Duration(1)}));
}
