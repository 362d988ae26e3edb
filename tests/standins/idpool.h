// Reserved submission ids, fetched in batches ahead of their use.
#pragma once

#include "base/coretime.h"
#include "bluebellquay/v1/dispatcher.pb.h"
#include "kernel/timerservice.h"
#include "net/connectclient.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay {

using EntryClients = std::vector<std::unique_ptr<ConnectClient>>;

class IdPool
{
public:
    // Batch is the number of ids for each call.
    IdPool(TimerService &timers, EntryClients &entries, std::uint32_t batch, Duration retryDelay);

    // Calls back with an id, at once if there is one, else as soon as an entry issues some.
    void take(std::function<void(std::string id)> done);

    // Calls to ReserveIds that failed.
    std::uint64_t failures() const { return m_failures; }

private:
    struct Reserved
    {
        std::string id;
        TimePoint expiry;
    };
    using Response = bluebellquay::v1::ReserveIdsResponse;

    bool discardExpired();
    void refill();
    void reserve();
    void onReserved(const ConnectResult<Response> &result);
    void accept(const Response &response);

    TimerService &m_timers;
    EntryClients &m_entries;
    std::uint32_t m_batch;
    Duration m_retryDelay;
    // In the order of reservation; entries give out ids with about the same validity.
    std::deque<Reserved> m_ids;
    std::deque<std::function<void(std::string)>> m_waiting;
    std::size_t m_nextEntry = 0;
    std::uint32_t m_inFlight = 0;
    std::uint64_t m_failures = 0;
    // Active after a failure, until the next try.
    TimerSubscription m_retry;
};

} // namespace Bluebellquay
