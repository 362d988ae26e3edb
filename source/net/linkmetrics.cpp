#include "net/linkmetrics.h"

namespace Bluebellquay {

LinkMetrics::LinkMetrics(Metrics &metrics)
    : m_framesSent(metrics.counter("bluebellquay_peer_frames_sent_total"))
    , m_framesReceived(metrics.counter("bluebellquay_peer_frames_received_total"))
    , m_droppedNoLink(
          metrics.counter("bluebellquay_peer_messages_dropped_total", {{"reason", "no_link"}}))
    , m_droppedTooLarge(
          metrics.counter("bluebellquay_peer_messages_dropped_total", {{"reason", "too_large"}}))
    , m_dials(metrics.counter("bluebellquay_peer_dials_total"))
    , m_roundTrip(metrics.histogram("bluebellquay_peer_round_trip_seconds"))
    , m_links(metrics.gauge("bluebellquay_peer_links"))
{
    for (std::size_t i = 0; i < LinkEnds; ++i) {
        const std::string reason(toString(static_cast<LinkEnd>(i)));
        m_ended[i] = &metrics.counter("bluebellquay_peer_links_closed_total", {{"reason", reason}});
    }
    for (std::size_t i = 0; i < DecodeErrors; ++i) {
        const std::string reason(toString(static_cast<DecodeError>(i)));
        m_rejected[i] =
            &metrics.counter("bluebellquay_peer_frames_rejected_total", {{"reason", reason}});
    }
    for (std::size_t i = 0; i < MessageKinds; ++i) {
        const MetricLabels labels{{"kind", std::string(messageKindName(i))}};
        m_sent[i] = {&metrics.counter("bluebellquay_peer_messages_sent_total", labels),
                     &metrics.counter("bluebellquay_peer_bytes_sent_total", labels)};
        m_received[i] = {&metrics.counter("bluebellquay_peer_messages_received_total", labels),
                         &metrics.counter("bluebellquay_peer_bytes_received_total", labels)};
    }
}

} // namespace Bluebellquay
