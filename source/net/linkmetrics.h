// Counters of the peer links, looked up once, because they are raised for each message.
#pragma once

#include "kernel/metrics.h"
#include "net/linkend.h"
#include "net/messagecodec.h"

#include <array>

namespace Bluebellquay {

class LinkMetrics
{
public:
    // Metrics must outlive this object.
    explicit LinkMetrics(Metrics &metrics);

    void linkEnded(LinkEnd end) { m_ended[static_cast<std::size_t>(end)]->add(); }
    void frameRejected(DecodeError error) { m_rejected[static_cast<std::size_t>(error)]->add(); }
    void sent(std::size_t kind, std::size_t bytes)
    {
        m_sent[kind].messages->add();
        m_sent[kind].bytes->add(bytes);
    }
    void received(std::size_t kind, std::size_t bytes)
    {
        m_received[kind].messages->add();
        m_received[kind].bytes->add(bytes);
    }
    void frameSent() { m_framesSent.add(); }
    void frameReceived() { m_framesReceived.add(); }
    void droppedWithoutLink() { m_droppedNoLink.add(); }
    void droppedAsTooLarge() { m_droppedTooLarge.add(); }
    void dialed() { m_dials.add(); }
    void roundTrip(double seconds) { m_roundTrip.record(seconds); }
    void links(std::size_t count) { m_links.set(static_cast<double>(count)); }

private:
    struct KindCounters
    {
        Counter *messages = nullptr;
        Counter *bytes = nullptr;
    };

    std::array<Counter *, LinkEnds> m_ended{};
    std::array<Counter *, DecodeErrors> m_rejected{};
    // By message kind. Bytes are those of the encoded messages, without frames.
    std::array<KindCounters, MessageKinds> m_sent{};
    std::array<KindCounters, MessageKinds> m_received{};
    Counter &m_framesSent;
    Counter &m_framesReceived;
    Counter &m_droppedNoLink;
    Counter &m_droppedTooLarge;
    Counter &m_dials;
    TimeHistogram &m_roundTrip;
    Gauge &m_links;
};

} // namespace Bluebellquay
