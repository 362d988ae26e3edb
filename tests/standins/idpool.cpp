#include "standins/idpool.h"

#include <algorithm>
#include <chrono>

namespace Bluebellquay {

namespace {

constexpr Duration ReserveTimeout{2'000'000};
constexpr std::uint32_t MaxInFlight = 4;
// Ids are used within this share of their validity, so that they are still valid on arrival.
constexpr double UsedValidity = 0.7;

} // namespace

IdPool::IdPool(TimerService &timers, EntryClients &entries, std::uint32_t batch,
               Duration retryDelay)
    : m_timers(timers)
    , m_entries(entries)
    , m_batch(batch)
    , m_retryDelay(retryDelay)
{
    refill();
}

void IdPool::take(std::function<void(std::string)> done)
{
    while (discardExpired()) { }
    if (m_ids.empty() || !m_waiting.empty()) {
        m_waiting.push_back(std::move(done));
        refill();
        return;
    }
    std::string id = std::move(m_ids.front().id);
    m_ids.pop_front();
    refill();
    done(std::move(id));
}

bool IdPool::discardExpired()
{
    if (m_ids.empty() || m_ids.front().expiry > m_timers.now())
        return false;
    m_ids.pop_front();
    return true;
}

void IdPool::refill()
{
    if (m_retry.active())
        return;
    while (m_inFlight < MaxInFlight
           && m_ids.size() + static_cast<std::size_t>(m_inFlight) * m_batch
               < m_waiting.size() + m_batch)
        reserve();
}

void IdPool::reserve()
{
    ++m_inFlight;
    bluebellquay::v1::ReserveIdsRequest request;
    request.set_count(m_batch);
    const std::size_t entry = m_nextEntry++ % m_entries.size();
    m_entries[entry]->call<Response>(
        "bluebellquay.v1.Dispatcher/ReserveIds", request, ReserveTimeout,
        [this](const ConnectResult<Response> &result) { onReserved(result); });
}

void IdPool::onReserved(const ConnectResult<Response> &result)
{
    --m_inFlight;
    const Response *response = std::get_if<Response>(&result);
    if (response != nullptr && response->ids_size() > 0) {
        accept(*response);
        refill();
        return;
    }
    ++m_failures;
    if (!m_retry.active())
        m_retry = m_timers.at(m_timers.now() + m_retryDelay, [this](TimePoint) {
            m_retry.cancel();
            refill();
        });
}

void IdPool::accept(const Response &response)
{
    for (const std::string &home : response.gone_homes())
        std::erase_if(m_ids, [&](const Reserved &entry) { return entry.id.starts_with(home); });
    const auto validity = std::chrono::duration_cast<Duration>(
        std::chrono::milliseconds(response.valid_for_ms()) * UsedValidity);
    for (const std::string &id : response.ids())
        m_ids.push_back({id, m_timers.now() + validity});
    while (!m_waiting.empty() && !m_ids.empty()) {
        const auto done = std::move(m_waiting.front());
        m_waiting.pop_front();
        std::string id = std::move(m_ids.front().id);
        m_ids.pop_front();
        done(std::move(id));
    }
}

} // namespace Bluebellquay
