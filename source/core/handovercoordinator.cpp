#include "core/handovercoordinator.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

constexpr Duration ResendInterval{1'000'000};
constexpr std::uint32_t MaxSendCount = 3;
// How long to look for a successor when no agent serves.
constexpr Duration SuccessorWait{3'000'000};
// Records in one Handover message; keeps the message well below the frame limit of the links.
constexpr std::size_t PartRecords = 1'000;
constexpr std::size_t PartBytes = std::size_t(2) << 20;

std::size_t bytesOf(const RecordSnapshot &record)
{
    constexpr std::size_t FixedBytes = 128;
    std::size_t bytes = FixedBytes + record.answer.detail.size();
    for (const std::string &output : record.answer.outputs)
        bytes += output.size();
    return bytes;
}

} // namespace

void HandoverCoordinator::prepare()
{
    std::map<Incarnation, std::vector<RecordSnapshot>> byHome;
    // The homes that this agent answers for have a successor even without records.
    byHome[m_state.self()];
    for (const auto &[home, adoption] : m_adopted) {
        if (answersFor(home))
            byHome[home];
    }
    for (RecordSnapshot &record : m_state.records.snapshots()) {
        const auto position = byHome.find(record.id.home());
        if (position != byHome.end())
            position->second.push_back(std::move(record));
    }
    for (auto &[home, records] : byHome) {
        std::size_t bytes = 0;
        m_parts.push_back(Handover{home, 0, false, {}});
        for (RecordSnapshot &record : records) {
            const std::size_t size = bytesOf(record);
            if (m_parts.back().records.size() >= PartRecords || bytes + size > PartBytes) {
                m_parts.push_back(Handover{home, m_parts.back().part + 1, false, {}});
                bytes = 0;
            }
            bytes += size;
            m_parts.back().records.push_back(std::move(record));
        }
        m_parts.back().last = true;
    }
}

bool HandoverCoordinator::chooseSuccessor(TimePoint now)
{
    if (m_successor && m_state.peers.isUp(*m_successor) && m_sendCount < MaxSendCount)
        return true;
    if (m_successor)
        m_unresponsive.insert(*m_successor);
    m_successor.reset();
    std::vector<Incarnation> candidates = m_state.peers.servingAgents();
    std::erase_if(candidates, [this](Incarnation agent) { return m_unresponsive.contains(agent); });
    if (candidates.empty()) {
        m_unresponsive.clear();
        m_done = now - m_begunAt >= SuccessorWait;
        return false;
    }
    // Prefers the same data centre, which is close to the entries that will ask the successor.
    const auto near =
        std::stable_partition(candidates.begin(), candidates.end(), [this](Incarnation agent) {
            return m_state.peers.find(agent)->info.dataCentre == m_state.peers.self().dataCentre;
        });
    const std::size_t choices = near == candidates.begin()
        ? candidates.size()
        : static_cast<std::size_t>(near - candidates.begin());
    std::uniform_int_distribution<std::size_t> choose(0, choices - 1);
    m_successor = candidates[choose(m_state.random)];
    m_sendCount = 0;
    for (std::size_t i = 0; i < m_parts.size(); ++i)
        m_unacknowledged.insert(i);
    return true;
}

void HandoverCoordinator::proceed(TimePoint now, Outbox &out)
{
    if (m_done)
        return;
    if (!m_begun) {
        m_begun = true;
        m_begunAt = now;
        prepare();
    }
    const bool lostSuccessor = !m_successor || !m_state.peers.isUp(*m_successor);
    if (!lostSuccessor && now < m_nextSendAt)
        return;
    m_nextSendAt = now + ResendInterval;
    if (!chooseSuccessor(now))
        return;
    ++m_sendCount;
    for (const std::size_t part : m_unacknowledged) {
        m_state.statistics.add(CoreCounter::HandedOverRecords, m_parts[part].records.size());
        out.send(*m_successor, m_parts[part]);
    }
}

void HandoverCoordinator::acknowledged(Incarnation from, const HandoverAck &message, Outbox &out)
{
    if (m_done || !m_begun || m_successor != from)
        return;
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        if (m_parts[i].home == message.home && m_parts[i].part == message.part)
            m_unacknowledged.erase(i);
    }
    if (m_unacknowledged.empty())
        finish(out);
}

void HandoverCoordinator::finish(Outbox &out)
{
    m_done = true;
    std::set<Incarnation> homes;
    for (const Handover &part : m_parts)
        homes.insert(part.home);
    for (const Incarnation entry : m_state.peers.connectedEntries()) {
        for (const Incarnation home : homes)
            out.send(entry, SuccessionNotice{Succession{home, *m_successor}});
    }
}

void HandoverCoordinator::adopt(Incarnation from, const Handover &message, Outbox &out)
{
    // Without an acknowledgement the sender looks for another successor.
    if (m_state.stopping
        || m_state.records.size() + message.records.size() > m_state.settings.maxRecords)
        return;
    Adoption &adoption = m_adopted[message.home];
    adoption.keepUntil = m_state.window.keepUntil(m_state.window.current());
    if (adoption.parts.insert(message.part).second) {
        for (const RecordSnapshot &record : message.records) {
            m_state.records.close(record.id, record.answer, adoption.keepUntil);
            if (record.digest)
                m_state.records.setDigest(record.id, *record.digest);
        }
        m_state.statistics.add(CoreCounter::AdoptedRecords, message.records.size());
    }
    if (message.last)
        adoption.last = message.part;
    out.send(from, HandoverAck{message.home, message.part});
}

bool HandoverCoordinator::answersFor(Incarnation home) const
{
    const auto position = m_adopted.find(home);
    return position != m_adopted.end() && position->second.last
        && position->second.parts.size() == *position->second.last + 1;
}

void HandoverCoordinator::announceTo(Incarnation entry, Outbox &out) const
{
    for (const auto &[home, adoption] : m_adopted) {
        if (answersFor(home))
            out.send(entry, SuccessionNotice{Succession{home, m_state.self()}});
    }
}

void HandoverCoordinator::expire()
{
    std::erase_if(m_adopted, [this](const auto &entry) {
        return entry.second.keepUntil < m_state.window.current();
    });
}

} // namespace Bluebellquay
