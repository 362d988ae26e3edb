// Random faults of a soak: they come in series, and several series overlap.
#pragma once

#include "kernel/timerservice.h"
#include "soak/foreignwriter.h"
#include "soak/soaksite.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace Bluebellquay::Testing {

enum class SoakFault : std::uint8_t {
    Processes,      // killed, stopped or paused for up to several seconds
    Links,          // of a process, for up to two seconds
    Store,          // away, slow or lossy; an evacuation
    Workers,        // stand still, lose answers, crash
    Announcements,  // of another writer
    Departures,     // said by another writer, or late
    EarlierLives,   // late announcements of a worker's life before the present one
    SlowWorkers,    // carry starts and stops out late
    ShortBreaks,    // freezes of agents, and breaks of links, that nobody is given up for
    Replacements,   // a worker leaves, or is gone, and another one comes
    ClockJumps,     // the next life of a worker says that it was born earlier
    DeathsInPauses, // an entry is killed while an agent is paused, which is paused again soon after
};

constexpr std::array<std::string_view, 12> SoakFaultNames = {
    "processes",     "links",        "store",         "workers",
    "announcements", "departures",   "earlier-lives", "slow-workers",
    "short-breaks",  "replacements", "clock-jumps",   "deaths-in-pauses"};

class SoakFaults
{
public:
    // Gap: mean time between two faults of the same sequence.
    SoakFaults(SoakSite &site, std::set<SoakFault> kinds, std::uint64_t seed, Duration gap);

    void begin();
    void end();
    std::size_t count() const { return m_count; }

private:
    using Action = std::function<void()>;

    bool includes(SoakFault kind) const { return m_kinds.contains(kind); }
    // Repeats the action, with random pauses up to this length between, until the faults end.
    void sequence(Duration longestGap, const Action &action);
    // Unless the faults end before.
    void later(Duration delay, Action action);
    void injectOne();
    void injectSeries();
    void inject(SoakFault kind, std::size_t agent);
    void writeForeign(std::size_t agent);
    void disturbProcess(SoakProcess &process);
    void kill(SoakProcess &process);
    void killInPause(SoakProcess &agent);
    void stopForGood(SoakProcess &process);
    void pause(SoakProcess &process, Duration span);
    void disturbLinks(SoakProcess &process);
    void breakShortly(SoakProcess &agent);
    void disturbStore();
    void disturbWorker(std::size_t agent);
    void restartWorker(std::size_t agent);
    void slowWorker(std::size_t agent);
    void replaceWorker(std::size_t agent);
    SoakProcess &any(SoakProcesses &processes);
    Duration between(Duration low, Duration high);
    std::size_t pick(std::size_t low, std::size_t high);

    SoakSite &m_site;
    std::set<SoakFault> m_kinds;
    std::mt19937_64 m_random;
    Duration m_gap;
    bool m_active = false;
    std::size_t m_count = 0;
    // One for each agent.
    std::vector<std::unique_ptr<ForeignWriter>> m_writers;
    // Those that have run are kept until the end.
    std::deque<TimerSubscription> m_timers;
    TimerSubscription m_storeRepair;
};

} // namespace Bluebellquay::Testing
