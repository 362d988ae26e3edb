#include "net/tableclient.h"

#include "kernel/log.h"

#include <platform/v1/table.pb.h>

#include <utility>

namespace Bluebellquay {

namespace {

// Reads and writes of one entry are few; more connections would only add load to a slow table.
constexpr std::size_t MaxConnections = 8;

// Null if the call failed, which is logged.
template <typename Response>
const Response *answerOf(const ConnectResult<Response> &result, std::string_view method)
{
    if (const auto *error = std::get_if<ConnectError>(&result)) {
        LogEvent(LogLevel::Warning, "table_call_failed")
            .field("method", method)
            .field("code", toString(error->code))
            .field("message", error->message);
        return nullptr;
    }
    return &std::get<Response>(result);
}

} // namespace

boost::leaf::result<std::unique_ptr<TableClient>>
TableClient::create(boost::asio::io_context &context, TableClientSettings settings)
{
    ConnectClientSettings clientSettings;
    clientSettings.address = std::move(settings.address);
    clientSettings.maxConnections = MaxConnections;
    clientSettings.encoding = ConnectEncoding::Json;
    BOOST_LEAF_AUTO(client, ConnectClient::create(context, std::move(clientSettings)));
    return std::unique_ptr<TableClient>(new TableClient(std::move(client), settings.timeout));
}

TableClient::TableClient(std::unique_ptr<ConnectClient> client, Duration timeout)
    : m_client(std::move(client))
    , m_timeout(timeout)
{ }

void TableClient::get(const std::string &key, std::function<void(std::optional<TableRow>)> done)
{
    platform::v1::GetRequest request;
    request.set_key(key);
    m_client->call<platform::v1::GetResponse>(
        "platform.v1.Table/Get", request, m_timeout,
        [key, done = std::move(done)](const ConnectResult<platform::v1::GetResponse> &result) {
            const auto *response = answerOf(result, "Get");
            // A row that is found has a version; anything else is not an answer of a table.
            if (response == nullptr || response->found() != (response->version() > 0))
                return done(std::nullopt);
            done(TableRow{key, response->version(), response->value()});
        });
}

void TableClient::put(const TablePut &put, std::function<void(std::optional<TableWrite>)> done)
{
    platform::v1::PutRequest request;
    request.set_key(put.key);
    request.set_expected_version(put.expectedVersion);
    request.set_value(put.value);
    m_client->call<platform::v1::PutResponse>(
        "platform.v1.Table/Put", request, m_timeout,
        [done = std::move(done)](const ConnectResult<platform::v1::PutResponse> &result) {
            const auto *response = answerOf(result, "Put");
            if (response == nullptr)
                return done(std::nullopt);
            done(TableWrite{response->ok(), response->version()});
        });
}

void TableClient::list(std::string_view prefix,
                       std::function<void(std::optional<std::vector<TableRow>>)> done)
{
    platform::v1::ListRequest request;
    request.set_prefix(std::string(prefix));
    m_client->call<platform::v1::ListResponse>(
        "platform.v1.Table/List", request, m_timeout,
        [done = std::move(done)](const ConnectResult<platform::v1::ListResponse> &result) {
            const auto *response = answerOf(result, "List");
            if (response == nullptr)
                return done(std::nullopt);
            std::vector<TableRow> rows;
            rows.reserve(static_cast<std::size_t>(response->rows_size()));
            for (const platform::v1::Row &row : response->rows())
                rows.push_back({row.key(), row.version(), row.value()});
            done(std::move(rows));
        });
}

} // namespace Bluebellquay
