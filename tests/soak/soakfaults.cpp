#include "soak/soakfaults.h"

#include <csignal>
#include <iterator>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

constexpr Duration OneMillisecond{1'000};
constexpr Duration StopGrace{6'000'000};
// Longer than the leases of all runs and the patience of homes and agents.
constexpr Duration LongestPause{4'000'000};
constexpr Duration WorkerFaultTime{2'000'000};
constexpr Duration StoreFaultTime{2'000'000};
// An agent is given up, and gives its homes up, after 850 ms; a link breaks after 600 ms.
constexpr Duration ShortPauseFrom{300'000};
constexpr Duration LinkBreakFrom{610'000};
constexpr Duration ShortPauseTo{840'000};
// An agent stops the runs of a home whose link is down for 250 ms.
constexpr Duration ShortCutTo{240'000};
// The incident had four foreign announcements, 2.5 to 2.8 s apart.
constexpr Duration ForeignGapFrom{2'000'000};
constexpr Duration ForeignGapTo{3'000'000};
constexpr Duration SeriesGapTo{900'000};
constexpr std::size_t LongestSeries = 4;
constexpr std::int64_t LargestBirthJumpMs = 5'000;

} // namespace

SoakFaults::SoakFaults(SoakSite &site, std::set<SoakFault> kinds, std::uint64_t seed, Duration gap)
    : m_site(site)
    , m_kinds(std::move(kinds))
    , m_random(seed)
    , m_gap(gap)
{
    for (const auto &agent : m_site.agents()) {
        m_writers.push_back(std::make_unique<ForeignWriter>(
            m_site.context(), m_site.timers(), SoakSite::loopback(agent->otherPort), m_random(),
            [this](const std::string &text) { m_site.note(text); }));
    }
}

Duration SoakFaults::between(Duration low, Duration high)
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

std::size_t SoakFaults::pick(std::size_t low, std::size_t high)
{
    return std::uniform_int_distribution<std::size_t>(low, high)(m_random);
}

SoakProcess &SoakFaults::any(SoakProcesses &processes)
{
    return *processes[pick(0, processes.size() - 1)];
}

void SoakFaults::begin()
{
    m_active = true;
    sequence(m_gap * 2, [this] { injectOne(); });
    sequence(m_gap * 2, [this] { injectSeries(); });
    for (std::size_t agent = 0; agent < m_writers.size(); ++agent)
        later(between(OneMillisecond, ForeignGapFrom), [this, agent] { writeForeign(agent); });
}

void SoakFaults::end()
{
    m_active = false;
    m_timers.clear();
    m_storeRepair.cancel();
}

void SoakFaults::sequence(Duration longestGap, const Action &action)
{
    later(between(OneMillisecond, longestGap), [this, longestGap, action] {
        action();
        sequence(longestGap, action);
    });
}

void SoakFaults::later(Duration delay, Action action)
{
    m_timers.push_back(m_site.timers().at(m_site.timers().now() + delay,
                                          [this, action = std::move(action)](TimePoint) {
                                              if (m_active)
                                                  action();
                                          }));
}

void SoakFaults::injectOne()
{
    constexpr std::array<SoakFault, 10> Kinds = {
        SoakFault::Processes, SoakFault::Processes, SoakFault::Processes, SoakFault::Processes,
        SoakFault::Links,     SoakFault::Links,     SoakFault::Links,     SoakFault::Store,
        SoakFault::Workers,   SoakFault::Workers};
    const SoakFault kind = Kinds[pick(0, Kinds.size() - 1)];
    const std::size_t agent = pick(0, m_site.agents().size() - 1);
    if (includes(kind))
        inject(kind, agent);
}

void SoakFaults::injectSeries()
{
    constexpr std::array<SoakFault, 7> Kinds = {SoakFault::Departures,    SoakFault::EarlierLives,
                                                SoakFault::SlowWorkers,   SoakFault::ShortBreaks,
                                                SoakFault::Replacements,  SoakFault::ClockJumps,
                                                SoakFault::DeathsInPauses};
    const SoakFault kind = Kinds[pick(0, Kinds.size() - 1)];
    const std::size_t agent = pick(0, m_site.agents().size() - 1);
    Duration delay{0};
    for (std::size_t left = pick(1, LongestSeries); left > 0; --left) {
        if (includes(kind))
            later(delay, [this, kind, agent] { inject(kind, agent); });
        delay += between(OneMillisecond, SeriesGapTo);
    }
}

void SoakFaults::inject(SoakFault kind, std::size_t agent)
{
    ++m_count;
    m_site.note("fault " + std::string(SoakFaultNames[static_cast<std::size_t>(kind)]) + " agent "
                + std::to_string(agent));
    PlatformWorker &worker = m_site.worker(agent);
    switch (kind) {
    case SoakFault::Processes:
        return disturbProcess(any(pick(0, 1) == 0 ? m_site.entries() : m_site.agents()));
    case SoakFault::Links:
        return disturbLinks(any(pick(0, 1) == 0 ? m_site.entries() : m_site.agents()));
    case SoakFault::Store:
        return disturbStore();
    case SoakFault::Workers:
        return disturbWorker(agent);
    case SoakFault::Announcements:
        return m_writers[agent]->announce(worker);
    case SoakFault::Departures:
        return m_writers[agent]->sayGone(worker);
    case SoakFault::EarlierLives:
        return m_writers[agent]->repeatEarlierLife(worker);
    case SoakFault::SlowWorkers:
        return slowWorker(agent);
    case SoakFault::ShortBreaks:
        return breakShortly(*m_site.agents()[agent]);
    case SoakFault::Replacements:
        return replaceWorker(agent);
    case SoakFault::ClockJumps:
        return restartWorker(agent);
    case SoakFault::DeathsInPauses:
        return killInPause(*m_site.agents()[agent]);
    }
}

void SoakFaults::writeForeign(std::size_t agent)
{
    if (includes(SoakFault::Announcements))
        inject(SoakFault::Announcements, agent);
    later(between(ForeignGapFrom, ForeignGapTo), [this, agent] { writeForeign(agent); });
}

void SoakFaults::disturbProcess(SoakProcess &process)
{
    // A paused process can't stop, and one that stops, or is about to start, is left to it.
    if (process.stopping || process.paused || !process.child->running())
        return;
    switch (pick(0, 2)) {
    case 0:
        return kill(process);
    case 1:
        return stopForGood(process);
    default:
        pause(process, between(100 * OneMillisecond, LongestPause));
    }
}

void SoakFaults::kill(SoakProcess &process)
{
    if (process.stopping || process.paused || !process.child->running())
        return;
    m_site.note("kill " + process.name);
    process.child->kill();
    process.next = m_site.timers().at(m_site.timers().now()
                                          + between(100 * OneMillisecond, 2'500 * OneMillisecond),
                                      [this, &process](TimePoint) { m_site.start(process); });
}

void SoakFaults::killInPause(SoakProcess &agent)
{
    const Duration first = between(ShortPauseFrom, ShortPauseTo);
    pause(agent, first);
    later(between(OneMillisecond, first), [this] { kill(any(m_site.entries())); });
    later(first + between(OneMillisecond, ShortCutTo),
          [this, &agent] { pause(agent, between(1'000 * OneMillisecond, LongestPause)); });
}

void SoakFaults::stopForGood(SoakProcess &process)
{
    m_site.note("stop " + process.name);
    process.child->signal(SIGTERM);
    process.stopping = true;
    // The platform kills it after the grace time and starts it again.
    process.next =
        m_site.timers().at(m_site.timers().now() + StopGrace, [this, &process](TimePoint) {
            if (process.child->running())
                m_site.judge().report("still running after its grace time: " + process.name);
            m_site.start(process);
        });
}

void SoakFaults::pause(SoakProcess &process, Duration span)
{
    if (process.stopping || process.paused || !process.child->running())
        return;
    m_site.note("pause " + process.name + " for " + std::to_string(span / OneMillisecond) + " ms");
    process.child->signal(SIGSTOP);
    process.paused = true;
    process.next = m_site.timers().at(m_site.timers().now() + span, [this, &process](TimePoint) {
        m_site.note("wake " + process.name);
        process.child->signal(SIGCONT);
        process.paused = false;
    });
}

void SoakFaults::disturbLinks(SoakProcess &process)
{
    m_site.note("disturb links of " + process.name);
    Duration span = between(100 * OneMillisecond, 2'000 * OneMillisecond);
    switch (pick(0, 4)) {
    case 0:
        process.relay->cut();
        break;
    case 1:
        process.relay->stall();
        break;
    case 2:
        process.relay->silence(RelayDirection::Up);
        break;
    case 3:
        process.relay->silence(RelayDirection::Down);
        break;
    default:
        process.relay->delay(std::chrono::milliseconds(pick(5, 80)));
    }
    process.linkRepair = m_site.timers().at(m_site.timers().now() + span,
                                            [&process](TimePoint) { process.relay->pass(); });
}

void SoakFaults::breakShortly(SoakProcess &agent)
{
    // Agents dial entries, so the links are cut at the entry.
    SoakProcess &entry = any(m_site.entries());
    Duration span = between(LinkBreakFrom, ShortPauseTo);
    switch (pick(0, 5)) {
    case 0:
        span = between(20 * OneMillisecond, ShortCutTo);
        entry.relay->cut();
        break;
    case 1:
        entry.relay->stall();
        break;
    case 2:
        return entry.relay->resetInFrame();
    case 3:
        return pause(agent, between(ShortPauseFrom, ShortPauseTo));
    default:
        return pause(agent, span);
    }
    m_site.note("break links of " + entry.name + " for " + std::to_string(span / OneMillisecond)
                + " ms");
    entry.linkRepair = m_site.timers().at(m_site.timers().now() + span,
                                          [&entry](TimePoint) { entry.relay->pass(); });
}

void SoakFaults::disturbStore()
{
    switch (pick(0, 5)) {
    case 0:
        m_site.store().setMode(StoreMode::Refusing);
        break;
    case 1:
        m_site.store().setMode(StoreMode::Silent);
        break;
    case 2:
        m_site.store().setDelay(std::chrono::milliseconds(200));
        break;
    case 3:
        m_site.store().setLostAnswers(0.4);
        break;
    case 4:
        m_site.evacuate(true);
        break;
    default:
        m_site.store().forgetHistory();
    }
    m_site.putConfig(1 + m_count);
    m_storeRepair = m_site.timers().at(m_site.timers().now() + StoreFaultTime,
                                       [this](TimePoint) { m_site.repairStore(); });
}

void SoakFaults::disturbWorker(std::size_t agent)
{
    switch (pick(0, 2)) {
    case 0:
        m_site.worker(agent).standStill(true);
        break;
    case 1:
        m_site.worker(agent).setLostAnswers(0.1);
        break;
    default:
        if (!m_site.worker(agent).isGone())
            m_site.worker(agent).crash();
        return;
    }
    later(WorkerFaultTime, [this, agent] {
        m_site.worker(agent).standStill(false);
        m_site.worker(agent).setLostAnswers(0);
    });
}

void SoakFaults::restartWorker(std::size_t agent)
{
    PlatformWorker &worker = m_site.worker(agent);
    if (worker.isGone())
        return;
    const auto jump = static_cast<std::int64_t>(pick(1, LargestBirthJumpMs));
    // A life at the same address may have another name.
    const std::string name = pick(0, 3) == 0 ? worker.name() + 'n' : worker.name();
    worker.restartAs(name, pick(0, 3) == 0 ? jump : -jump);
    if (includes(SoakFault::EarlierLives))
        later(between(OneMillisecond, WorkerFaultTime),
              [this, agent] { inject(SoakFault::EarlierLives, agent); });
}

void SoakFaults::slowWorker(std::size_t agent)
{
    m_site.worker(agent).setSlow(true);
    later(between(WorkerFaultTime / 2, WorkerFaultTime * 2),
          [this, agent] { m_site.worker(agent).setSlow(false); });
}

void SoakFaults::replaceWorker(std::size_t agent)
{
    PlatformWorker &worker = m_site.worker(agent);
    if (worker.isGone())
        return;
    if (pick(0, 2) == 0)
        worker.vanish();
    else
        worker.leave();
    later(between(OneMillisecond, WorkerFaultTime), [this, agent] { m_site.replaceWorker(agent); });
}

} // namespace Bluebellquay::Testing
