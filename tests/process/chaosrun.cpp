#include "process/chaosrun.h"

#include <iostream>
#include <thread>

namespace Bluebellquay::Testing {

namespace {

// Bounds the run if most faults fall on processes that have one already.
constexpr unsigned MaxStepsPerFault = 10;
// Tasks that were started for callers long gone end within this time.
constexpr std::chrono::seconds QuietTime(2);

SiteLayout chaosLayout(const ChaosSettings &settings)
{
    SiteLayout layout;
    layout.entries = 2;
    layout.agents = settings.agents;
    layout.faultyLinks = true;
    // Short timeouts, so that many faults fit into the run.
    layout.entryExtra = "heartbeat_interval_ms = 150\nsilence_timeout_ms = 600\n";
    layout.agentExtra = layout.entryExtra + "lost_timeout_ms = 4000\n";
    return layout;
}

} // namespace

ChaosVerdict runChaos(const ChaosSettings &settings)
{
    Site site(chaosLayout(settings));
    site.startAll();
    ChaosWorkload workload({site.callerAddress(0), site.callerAddress(1)}, settings.seed,
                           settings.callers);
    FaultInjector injector(site, settings.seed);
    for (unsigned steps = 0;
         injector.total() < settings.faults && steps < settings.faults * MaxStepsPerFault; ++steps)
        injector.step();
    injector.heal();
    site.waitReady();
    workload.finish();
    std::this_thread::sleep_for(QuietTime);

    for (const auto &[kind, count] : injector.counts())
        std::cerr << "faults " << kind << ' ' << count << '\n';
    return judge(site, workload.submissions(), injector.lost());
}

} // namespace Bluebellquay::Testing
