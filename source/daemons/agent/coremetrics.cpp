#include "daemons/agent/coremetrics.h"

#include <string>

namespace Bluebellquay {

CoreMetrics::CoreMetrics(Metrics &metrics)
    : m_metrics(metrics)
{ }

void CoreMetrics::update(const CoreStatistics &statistics, const Heartbeat &heartbeat)
{
    statistics.visit([this](std::string_view name, std::string_view label,
                            std::string_view labelValue, std::uint64_t value) {
        MetricLabels labels;
        if (!label.empty())
            labels.emplace_back(label, labelValue);
        Counter &counter =
            m_metrics.counter("bluebellquay_" + std::string(name) + "_total", labels);
        counter.add(value - counter.value());
    });
    m_metrics.gauge("bluebellquay_slots").set(heartbeat.load.slots);
    m_metrics.gauge("bluebellquay_free_slots").set(heartbeat.load.freeSlots);
    m_metrics.gauge("bluebellquay_agent_state").set(static_cast<double>(heartbeat.state));
}

} // namespace Bluebellquay
