#include "standins/tablestandin.h"

#include <utility>

namespace Bluebellquay {

namespace {

// The callers of older ones have timed out long ago.
constexpr std::size_t MaxWithheld = 10'000;

} // namespace

boost::leaf::result<std::unique_ptr<TableStandin>>
TableStandin::create(boost::asio::io_context &context, TimerService &timers,
                     const boost::asio::ip::tcp::endpoint &endpoint)
{
    ConnectServerSettings settings;
    settings.endpoint = endpoint;
    BOOST_LEAF_AUTO(server, ConnectServer::create(context, std::move(settings)));
    return std::unique_ptr<TableStandin>(new TableStandin(timers, std::move(server)));
}

TableStandin::TableStandin(TimerService &timers, std::unique_ptr<ConnectServer> server)
    : m_timers(timers)
    , m_server(std::move(server))
{
    addHandlers();
}

void TableStandin::addHandlers()
{
    using namespace platform::v1;
    using namespace standins::v1;
    m_server->handle<GetRequest, GetResponse>(
        "platform.v1.Table/Get", [this](const GetRequest &request, const CallContext &, auto done) {
            schedule<GetResponse>(std::move(done), [this, key = request.key()](const auto &answer) {
                answer(get(key));
            });
        });
    m_server->handle<ListRequest, ListResponse>(
        "platform.v1.Table/List",
        [this](const ListRequest &request, const CallContext &, auto done) {
            schedule<ListResponse>(
                std::move(done),
                [this, prefix = request.prefix()](const auto &answer) { answer(list(prefix)); });
        });
    m_server->handle<PutRequest, PutResponse>(
        "platform.v1.Table/Put", [this](const PutRequest &request, const CallContext &, auto done) {
            schedule<PutResponse>(std::move(done),
                                  [this, request](const auto &answer) { put(request, answer); });
        });
    m_server->handle<TableFaults, TableState>(
        "standins.v1.TableControl/SetFaults",
        [this](const TableFaults &request, const CallContext &, const auto &done) {
            m_faults = request;
            done(state());
        });
    m_server->handle<GetStateRequest, TableState>(
        "standins.v1.TableControl/GetState",
        [this](const GetStateRequest &, const CallContext &, const auto &done) { done(state()); });
}

template <typename Response>
void TableStandin::schedule(Done<Response> done, std::function<void(Done<Response>)> run)
{
    if (m_faults.silent()) {
        withhold([done = std::move(done)] {});
        return;
    }
    if (m_faults.down()) {
        done(ConnectError{ConnectCode::Unavailable, "the table service is down"});
        return;
    }
    if (m_faults.delay_ms() == 0) {
        run(std::move(done));
        return;
    }
    const std::uint64_t number = ++m_lastDelayed;
    m_delayed[number] =
        m_timers.at(m_timers.now() + std::chrono::milliseconds(m_faults.delay_ms()),
                    [this, number, done = std::move(done), run = std::move(run)](TimePoint) {
                        run(done);
                        m_delayed.erase(number);
                    });
}

platform::v1::GetResponse TableStandin::get(const std::string &key)
{
    m_state.set_reads(m_state.reads() + 1);
    platform::v1::GetResponse response;
    const auto position = m_rows.find(key);
    if (position == m_rows.end())
        return response;
    response.set_found(true);
    response.set_version(position->second.version);
    response.set_value(position->second.value);
    return response;
}

platform::v1::ListResponse TableStandin::list(const std::string &prefix)
{
    m_state.set_reads(m_state.reads() + 1);
    platform::v1::ListResponse response;
    for (auto position = m_rows.lower_bound(prefix);
         position != m_rows.end() && position->first.starts_with(prefix); ++position) {
        platform::v1::Row &row = *response.add_rows();
        row.set_key(position->first);
        row.set_version(position->second.version);
        row.set_value(position->second.value);
    }
    return response;
}

void TableStandin::put(const platform::v1::PutRequest &request,
                       const Done<platform::v1::PutResponse> &done)
{
    platform::v1::PutResponse response;
    const auto position = m_rows.find(request.key());
    const std::uint64_t version = position == m_rows.end() ? 0 : position->second.version;
    if (version != request.expected_version()) {
        m_state.set_conflicts(m_state.conflicts() + 1);
        response.set_version(version);
        done(response);
        return;
    }
    m_state.set_writes(m_state.writes() + 1);
    m_rows[request.key()] = {version + 1, request.value()};
    response.set_ok(true);
    response.set_version(version + 1);
    if (m_faults.drop_write_answers() == 0) {
        done(response);
        return;
    }
    m_faults.set_drop_write_answers(m_faults.drop_write_answers() - 1);
    m_state.set_dropped_answers(m_state.dropped_answers() + 1);
    withhold([done] {});
}

standins::v1::TableState TableStandin::state() const
{
    standins::v1::TableState state = m_state;
    *state.mutable_faults() = m_faults;
    state.set_rows(m_rows.size());
    return state;
}

void TableStandin::withhold(std::function<void()> completion)
{
    m_withheld.push_back(std::move(completion));
    if (m_withheld.size() > MaxWithheld)
        m_withheld.pop_front();
}

} // namespace Bluebellquay
