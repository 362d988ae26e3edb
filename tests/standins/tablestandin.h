// Stand-in of the platform's table service: rows in memory, compare-and-set, and faults on demand.
#pragma once

#include "kernel/timerservice.h"
#include "net/connectserver.h"
#include "platform/v1/table.pb.h"
#include "standins/v1/control.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Bluebellquay {

class TableStandin
{
public:
    // Errors: ListenError.
    static boost::leaf::result<std::unique_ptr<TableStandin>>
    create(boost::asio::io_context &context, TimerService &timers,
           const boost::asio::ip::tcp::endpoint &endpoint);

    unsigned short port() const { return m_server->port(); }

private:
    struct StoredRow
    {
        std::uint64_t version = 0;
        std::string value;
    };
    template <typename Response>
    using Done = std::function<void(ConnectResult<Response>)>;

    TableStandin(TimerService &timers, std::unique_ptr<ConnectServer> server);
    void addHandlers();
    // Runs the call now, later or never, as the faults say.
    template <typename Response>
    void schedule(Done<Response> done, std::function<void(Done<Response>)> run);

    platform::v1::GetResponse get(const std::string &key);
    platform::v1::ListResponse list(const std::string &prefix);
    void put(const platform::v1::PutRequest &request, const Done<platform::v1::PutResponse> &done);
    standins::v1::TableState state() const;
    // Keeps a completion uncalled, since destroying it would answer the call.
    void withhold(std::function<void()> completion);

    TimerService &m_timers;
    std::map<std::string, StoredRow> m_rows;
    standins::v1::TableFaults m_faults;
    // Counters only; the other fields are filled in by state().
    standins::v1::TableState m_state;
    std::uint64_t m_lastDelayed = 0;
    std::map<std::uint64_t, TimerSubscription> m_delayed;
    std::deque<std::function<void()>> m_withheld;
    // Destroyed first, so that no handler runs without the members above.
    std::unique_ptr<ConnectServer> m_server;
};

} // namespace Bluebellquay
