// Copies the counters of AgentCore into the metrics of the process.
#pragma once

#include "base/messages.h"
#include "core/corestatistics.h"
#include "kernel/metrics.h"

namespace Bluebellquay {

class CoreMetrics
{
public:
    explicit CoreMetrics(Metrics &metrics);

    // Copies the current values. Must be called before the metrics are read.
    void update(const CoreStatistics &statistics, const Heartbeat &heartbeat);

private:
    Metrics &m_metrics;
};

} // namespace Bluebellquay
