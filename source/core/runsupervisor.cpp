#include "core/runsupervisor.h"

#include "core/standstill.h"
#include "core/trackerlog.h"
#include "kernel/log.h"

#include <algorithm>

namespace Bluebellquay {

namespace {

constexpr Duration StandstillCheckInterval{20'000};
// Number of waiting orders that do not fit before the search for one that fits ends.
constexpr int LookAhead = 8;

} // namespace

void RunSupervisor::addWaiting(TimePoint now, Incarnation home, const StartRuns &message,
                               const RunOrder &order)
{
    m_runs.addWaiting({message.job, message.step, order.index, order.run},
                      TrackedRun::waiting(now, home, message, order));
    scheduleCheck(now + m_settings.longestWait);
}

void RunSupervisor::startWaiting(TimePoint now, const ResourceNeed &room, RunOutbox &out)
{
    int looked = 0;
    const TrackedRuns::Waiting &waiting = m_runs.waiting();
    for (auto position = waiting.begin(); position != waiting.end() && looked < LookAhead;) {
        const auto run = m_runs.find((position++)->second);
        if (m_runs.anotherStarted(run->first) || !leaseAllowsStart(run->second))
            continue;
        if (!m_runs.fits(run->second, room)) {
            ++looked;
            continue;
        }
        m_runs.start(now, run);
        ++m_statistics.started;
        m_calls.sendStart(now, run->first, run->second, out);
        if (m_health.onProbation()) {
            m_health.probeStarted();
            return returnWaiting(now, out);
        }
    }
}

void RunSupervisor::returnOrder(TimePoint now, TrackedRuns::Runs::iterator position, RunOutbox &out)
{
    end(now, position, RunResult::NotStarted, EndEvidence::NotSent, out);
}

void RunSupervisor::returnWaiting(TimePoint now, RunOutbox &out)
{
    while (!m_runs.waiting().empty())
        returnOrder(now, m_runs.find(m_runs.waiting().begin()->second), out);
}

void RunSupervisor::stop(TimePoint now, TrackedRuns::Runs::iterator position, RunOutbox &out)
{
    if (position->second.state == RunState::Waiting)
        return returnOrder(now, position, out);
    release(now, position->second);
    m_calls.requestStop(now, position->first, position->second, out);
}

void RunSupervisor::stopOthers(TimePoint now, Incarnation home, const std::set<RunKey> &kept,
                               RunOutbox &out)
{
    for (auto position = m_runs.begin(); position != m_runs.end();) {
        const auto current = position++;
        if (current->second.home == home && !kept.contains(current->first))
            stop(now, current, out);
    }
}

void RunSupervisor::stopAll(TimePoint now, RunOutbox &out)
{
    returnWaiting(now, out);
    for (auto &[key, run] : m_runs) {
        release(now, run);
        m_calls.requestStop(now, key, run, out);
    }
}

void RunSupervisor::release(TimePoint now, TrackedRun &run)
{
    run.releaseAt(m_contacts.latest(run.home).value_or(now));
}

bool RunSupervisor::startAnswered(TimePoint now, const RunKey &key, StartAnswer answer,
                                  RunOutbox &out)
{
    const auto position = m_runs.find(key);
    if (position == m_runs.end() || position->second.state == RunState::Waiting)
        return false;
    TrackedRun &run = position->second;
    if (answer == StartAnswer::Accepted)
        run.accept(now);
    const bool refused = m_calls.startRefused(now, key, run, answer, m_statistics, out);
    if (answer == StartAnswer::Unhealthy)
        suspend(now, "unhealthy", out);
    if (refused)
        end(now, position, RunResult::NotStarted, EndEvidence::StartRefused, out);
    return refused;
}

void RunSupervisor::stopAnswered(TimePoint now, const RunKey &key, bool answered, RunOutbox &out)
{
    const auto position = m_runs.find(key);
    if (answered && position != m_runs.end())
        m_calls.stopConfirmed(now, position->second, out);
}

void RunSupervisor::listingReceived(TimePoint now, const RunListing &listing, RunOutbox &out)
{
    m_lastListing = std::max(m_lastListing, listing.askedAt);
    for (const ListedEnd &listed : listing.ended) {
        const auto position = m_runs.find(listed.run);
        if (position != m_runs.end() && position->second.state != RunState::Waiting)
            end(now, position, listed.end, EndEvidence::ListedEnd, out);
    }
    const std::set<RunKey> running(listing.running.begin(), listing.running.end());
    for (const RunKey &key : running) {
        const auto position = m_runs.find(key);
        if (position == m_runs.end()) {
            adoptForeignRun(now, key, listing.askedAt, out);
            continue;
        }
        if (position->second.unconfirmed())
            position->second.confirm(now);
        position->second.list(listing.askedAt);
    }
    for (const ProvenEnd &missing : m_runs.endsOfMissing(listing, running))
        end(now, m_runs.find(missing.run), missing.end, missing.evidence, out);
    if (now >= m_nextStandstillCheck) {
        m_nextStandstillCheck = now + StandstillCheckInterval;
        checkStandstill(now, out);
    }
}

void RunSupervisor::adoptForeignRun(TimePoint now, const RunKey &key, TimePoint askedAt,
                                    RunOutbox &out)
{
    if (m_retainedEnds.endedSince(key, askedAt))
        return;
    m_calls.requestStop(now, key, m_runs.addForeign(now, key), out);
}

void RunSupervisor::leaseExpired(TimePoint now, RunOutbox &out)
{
    returnWaiting(now, out);
    while (!m_runs.empty()) {
        const auto position = m_runs.begin();
        end(now, position, position->second.resultWithoutWorker(), EndEvidence::LeaseOver, out);
    }
}

void RunSupervisor::workerReplaced(TimePoint now, RunOutbox &out)
{
    m_health = WorkerHealth();
    for (auto position = m_runs.begin(); position != m_runs.end();) {
        const auto current = position++;
        TrackedRun &run = current->second;
        if (run.state == RunState::Waiting)
            returnOrder(now, current, out);
        else if ((run.listed && !run.attempts.anyUnresolved()) || run.foreign())
            end(now, current, RunResult::Lost, EndEvidence::NextLife, out);
        else {
            m_runs.setOfEarlierLife(run);
            m_calls.stopOnReplacedWorker(now, current->first, run, out);
        }
    }
}

void RunSupervisor::end(TimePoint now, TrackedRuns::Runs::iterator position, RunResult how,
                        EndEvidence evidence, RunOutbox &out)
{
    const RunKey key = position->first;
    const TrackedRun run = m_runs.remove(position);
    EndedRun ended{key, how, Duration(0)};
    if (run.state == RunState::Waiting) {
        ++m_statistics.ordersReturned;
    } else if (run.foreign()) {
        return;
    } else {
        ended.runTime = std::max(now - run.started, Duration(0));
        judge(now, run, ended, out);
        m_statistics.count(how, evidence);
        if (evidence != EndEvidence::ListedEnd)
            logRunEnd(m_workerName, ended, evidence);
    }
    m_retainedEnds.keep(now, run.home, ended);
    m_timers.schedule(now + m_settings.endRetention, Timer{TimerKind::ForgetEnd, key});
    out.messages.emplace_back(run.home, RunsEnded{{ended}});
}

void RunSupervisor::judge(TimePoint now, const TrackedRun &run, const EndedRun &ended,
                          RunOutbox &out)
{
    const bool suspendedBefore = m_health.onProbation();
    m_health.ended(now, ended.run.job, ended.end, ended.runTime, run.expected);
    if (suspendedBefore && ended.end != RunResult::Done && ended.end != RunResult::Failed)
        m_health.probeAbandoned();
    if (ended.end == RunResult::Failed && m_health.onProbation())
        suspended(now, "failures", out);
    if (suspendedBefore && !m_health.onProbation())
        LogEvent(LogLevel::Info, "worker_resumed").field("worker", m_workerName);
}

void RunSupervisor::checkStandstill(TimePoint now, RunOutbox &out)
{
    if (!standsStill(m_runs.ongoing(), m_health, m_lastListing))
        return;
    ++m_statistics.standstills;
    suspend(now, "standstill", out);
    for (auto &[key, run] : m_runs) {
        if (run.state == RunState::Running)
            m_calls.requestStop(now, key, run, out);
    }
}

void RunSupervisor::suspend(TimePoint now, std::string_view reason, RunOutbox &out)
{
    m_health.suspend(now);
    suspended(now, reason, out);
}

void RunSupervisor::suspended(TimePoint now, std::string_view reason, RunOutbox &out)
{
    ++m_statistics.suspensions;
    logWorkerSuspended(now, m_workerName, reason, m_runs.size(), m_health);
    scheduleCheck(*m_health.probeAt());
    returnWaiting(now, out);
}

bool RunSupervisor::advance(TimePoint now, bool exceeded, RunOutbox &out)
{
    bool check = false;
    m_calls.advance(now, m_runs, exceeded, m_statistics, out);
    while (const std::optional<Timer> timer = m_timers.popDue(now)) {
        if (timer->kind == TimerKind::Check)
            check = true;
        else
            m_retainedEnds.forget(timer->run);
    }
    if (!check)
        return false;
    const TrackedRuns::Waiting &waiting = m_runs.waiting();
    for (auto position = waiting.begin(); position != waiting.end();) {
        const auto run = m_runs.find((position++)->second);
        if (now >= run->second.received + m_settings.longestWait)
            returnOrder(now, run, out);
    }
    return true;
}

void RunSupervisor::logUnavailable(TimePoint now, std::string_view reason) const
{
    logWorkerUnavailable(now, m_workerName, reason, m_runs.started());
}

} // namespace Bluebellquay
