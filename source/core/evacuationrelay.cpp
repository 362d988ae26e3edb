#include "core/evacuationrelay.h"

#include "kernel/log.h"

namespace Bluebellquay {

namespace {

void logChanges(const std::set<std::string> &before, const Evacuations &after,
                std::string_view source)
{
    const auto log = [&](const char *event, const std::string &dataCentre) {
        LogEvent(LogLevel::Info, event)
            .field("data_centre", dataCentre)
            .field("version", after.version().value())
            .field("source", source);
    };
    for (const std::string &dataCentre : after.dataCentres()) {
        if (!before.contains(dataCentre))
            log("evacuation_learnt", dataCentre);
    }
    for (const std::string &dataCentre : before) {
        if (!after.dataCentres().contains(dataCentre))
            log("evacuation_taken_back", dataCentre);
    }
}

} // namespace

void EvacuationRelay::peerUp(Incarnation peer)
{
    m_peers.insert(peer);
    if (m_evacuations.known())
        m_sender(peer, m_evacuations.notice());
}

void EvacuationRelay::offer(const EvacuationNotice &notice, Incarnation from,
                            std::string_view source)
{
    const std::set<std::string> before = m_evacuations.dataCentres();
    if (!m_evacuations.offer(notice))
        return;
    logChanges(before, m_evacuations, source);
    // Peers first: what the handler sends may count on their knowing the list.
    for (const Incarnation peer : m_peers) {
        if (peer != from)
            m_sender(peer, m_evacuations.notice());
    }
    m_handler(m_evacuations);
}

} // namespace Bluebellquay
