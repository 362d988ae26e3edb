// State that the components of a home share: records, issue window, peers, rules and counters.
#pragma once

#include "core/agentcore.h"
#include "core/corestatistics.h"
#include "core/peertable.h"
#include "core/recordstore.h"

#include <memory>
#include <random>

namespace Bluebellquay {

struct HomeState
{
    HomeState(const AgentCoreSettings &agentSettings, CoreStatistics &counters,
              PeerTable &peerTable, TimePoint now)
        : settings(agentSettings)
        , statistics(counters)
        , peers(peerTable)
        , window(now, settings.issuePeriod, settings.acceptedPeriods)
        , records(settings.maxRecords)
        , random(settings.seed ^ settings.self.incarnation.value())
    { }

    Incarnation self() const { return settings.self.incarnation; }

    AgentCoreSettings settings;
    CoreStatistics &statistics;
    PeerTable &peers;
    IssueWindow window;
    RecordStore records;
    // Null until the first document is in force.
    std::shared_ptr<const RuleSet> rules;
    std::mt19937_64 random;
    // True while the executor of the same agent takes new tasks.
    bool executorServes = false;
    AgentLoad executorLoad;
    // True once a planned stop has begun; no new submission is accepted from then on.
    bool stopping = false;
};

} // namespace Bluebellquay
