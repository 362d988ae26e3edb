#include "core/trackerlog.h"

#include "core/keyedjob.h"
#include "kernel/log.h"

#include <algorithm>
#include <string>

namespace Bluebellquay {

namespace {

constexpr std::size_t MaxRunsLogged = 8;
constexpr Duration OneMillisecond{1'000};

} // namespace

void logWorkerUnavailable(TimePoint now, std::string_view worker, std::string_view reason,
                          std::vector<StartedRun> runs)
{
    std::sort(runs.rbegin(), runs.rend());
    std::string youngest;
    for (std::size_t i = 0; i < std::min(runs.size(), MaxRunsLogged); ++i) {
        const auto &[started, run] = runs[i];
        youngest += (i > 0 ? "," : "") + jobKeyText(run.job) + '.' + std::to_string(run.step) + '.'
            + std::to_string(run.index) + '@' + std::to_string((now - started) / OneMillisecond);
    }
    LogEvent(LogLevel::Warning, "worker_unavailable")
        .field("worker", worker)
        .field("reason", reason)
        .field("runs", runs.size())
        .field("youngest_ms", youngest);
}

void logHomeOutOfTouch(Incarnation home, Duration since, std::size_t runs)
{
    LogEvent(LogLevel::Warning, "home_out_of_touch")
        .field("incarnation", toString(home))
        .field("contact_ms_ago", since / OneMillisecond)
        .field("runs", runs);
}

void logOrderAwaitsContact(const RunKey &run, Incarnation home, Duration sinceContact,
                           Duration leaseLeft)
{
    LogEvent(LogLevel::Info, "order_awaits_contact")
        .field("job", jobKeyText(run.job))
        .field("step", run.step)
        .field("task", run.index)
        .field("run", run.run.value())
        .field("home", toString(home))
        .field("contact_ms_ago", sinceContact / OneMillisecond)
        .field("lease_left_ms", leaseLeft / OneMillisecond);
}

void logRunEnd(std::string_view worker, const EndedRun &ended, EndEvidence evidence)
{
    LogEvent(LogLevel::Info, "run_end_inferred")
        .field("worker", worker)
        .field("job", jobKeyText(ended.run.job))
        .field("step", ended.run.step)
        .field("task", ended.run.index)
        .field("run", ended.run.run.value())
        .field("result", toString(ended.end))
        .field("evidence", toString(evidence))
        .field("run_ms", ended.runTime / OneMillisecond);
}

void logWorkerSuspended(TimePoint now, std::string_view worker, std::string_view reason,
                        std::size_t runs, const WorkerHealth &health)
{
    LogEvent(LogLevel::Warning, "worker_suspended")
        .field("worker", worker)
        .field("reason", reason)
        .field("runs", runs)
        .field("last_end_ms_ago", (now - health.lastEnd()) / OneMillisecond)
        .field("probe_in_ms", (*health.probeAt() - now) / OneMillisecond);
}

} // namespace Bluebellquay
