#include "core/runtracker.h"

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

RunTracker::RunTracker(RunTrackerSettings settings)
    : m_settings(settings)
{ }

void RunTracker::workerAnnounced(TimePoint now, const WorkerProfile &profile, RunOutbox &out)
{
    if (m_worker && !(m_worker->identity == profile.identity))
        replaceWorker(now, out);
    const bool news = !m_worker || !(m_worker->identity == profile.identity)
        || m_worker->draining != profile.draining || !(m_worker->room == profile.room);
    m_worker = profile;
    if (!news)
        return;
    if (profile.draining)
        returnWaiting(now, out);
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::workerLeaves(TimePoint now, RunOutbox &out)
{
    closeUntilAnswer(now, "leaves", out);
}

void RunTracker::workerLeft(TimePoint now, RunOutbox &out)
{
    returnWaiting(now, out);
    m_worker.reset();
    m_listingReceived = false;
    m_mayRenewLease = false;
    reportRooms(now, out);
}

void RunTracker::workerRefused(TimePoint now, RunOutbox &out)
{
    if (!m_worker || !m_listingReceived)
        return;
    ++m_statistics.workerRefusals;
    m_listingReceived = false;
    logUnavailable(now, "refused");
    returnWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::workerSilent(TimePoint now, RunOutbox &out)
{
    if (closeUntilAnswer(now, "silent", out))
        ++m_statistics.workerSilences;
}

bool RunTracker::closeUntilAnswer(TimePoint now, std::string_view reason, RunOutbox &out)
{
    if (!m_worker || !m_listingReceived || m_silent)
        return false;
    m_silent = true;
    logUnavailable(now, reason);
    returnWaiting(now, out);
    reportRooms(now, out);
    return true;
}

void RunTracker::leaseExpired(TimePoint now, RunOutbox &out)
{
    ++m_statistics.leasesExpired;
    endAll(now, EndEvidence::LeaseOver, out);
    m_listingReceived = false;
    reportRooms(now, out);
}

void RunTracker::listingReceived(TimePoint now, const RunListing &account, RunOutbox &out)
{
    if (!m_worker || !(account.worker == m_worker->identity))
        return;
    const bool first = !m_listingReceived || m_silent;
    // A running row that can't be read may be a run of an earlier incarnation. It ends with its
    // lease, which is not renewed before.
    m_listingReceived = m_listingReceived || account.unreadableRunning == 0;
    m_silent = false;
    m_lastListing = std::max(m_lastListing, account.askedAt);
    for (const ListedEnd &listed : account.ended) {
        const auto position = m_runs.find(listed.run);
        if (position != m_runs.end() && position->second.state != RunState::Waiting)
            end(now, position, listed.end, EndEvidence::ListedEnd, out);
    }
    const std::set<RunKey> running(account.running.begin(), account.running.end());
    for (const RunKey &key : running) {
        const auto position = m_runs.find(key);
        if (position == m_runs.end())
            adoptForeignRun(now, key, account.askedAt, out);
        else if (position->second.unconfirmed())
            position->second.confirm(now);
        if (position != m_runs.end())
            position->second.list(account.askedAt);
    }
    for (const ProvenEnd &missing : m_runs.endsOfMissing(account, running))
        end(now, m_runs.find(missing.run), missing.end, missing.evidence, out);
    m_mayRenewLease = m_mayRenewLease || (m_listingReceived && m_runs.foreignRuns() == 0);
    if (now >= m_nextStandstillCheck) {
        m_nextStandstillCheck = now + StandstillCheckInterval;
        checkStandstill(now, out);
    }
    startWaiting(now, out);
    if (first || !account.ended.empty())
        reportRooms(now, out);
}

void RunTracker::startAnswered(TimePoint now, const RunKey &key, StartAnswer answer, RunOutbox &out)
{
    const auto position = m_runs.find(key);
    if (position == m_runs.end() || position->second.state == RunState::Waiting)
        return;
    TrackedRun &run = position->second;
    if (answer == StartAnswer::Accepted)
        run.accept(now);
    const bool refused = m_calls.startRefused(now, key, run, answer, m_statistics, out);
    if (answer == StartAnswer::Unhealthy)
        suspend(now, "unhealthy", out);
    if (!refused)
        return;
    end(now, position, RunResult::NotStarted, EndEvidence::StartRefused, out);
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::stopAnswered(TimePoint now, const RunKey &key, bool answered, RunOutbox &out)
{
    const auto position = m_runs.find(key);
    if (answered && position != m_runs.end())
        m_calls.stopConfirmed(now, position->second, out);
}

void RunTracker::homeUp(Incarnation home)
{
    m_reports.homeUp(home);
}

void RunTracker::retireHome(TimePoint now, Incarnation home, bool retired, RunOutbox &out)
{
    m_reports.retire(home, retired);
    reportRooms(now, out);
}

void RunTracker::handle(TimePoint now, Incarnation home, const StartRuns &message, RunOutbox &out)
{
    if (!m_reports.knows(home))
        return refuseOrders(home, message, out);
    for (const RunOrder &order : message.orders) {
        m_reports.orderReceived(home, order.order);
        const RunKey key{message.job, message.step, order.index, order.run};
        if (m_runs.contains(key) || m_retainedEnds.contains(key)) {
            answerKnownOrder(home, key, out);
            continue;
        }
        ++m_statistics.ordersReceived;
        m_statistics.ordersEvacuated += m_evacuated ? 1 : 0;
        m_runs.addWaiting(key, TrackedRun::waiting(now, home, message, order));
        scheduleCheck(now + m_settings.longestWait);
    }
    if (m_reports.retired(home))
        returnOrders(now, home, message, false, out);
    startWaiting(now, out);
    if (!accepting(now))
        returnWaiting(now, out);
    // The home counted on capacity that another home has taken. It chooses a worker again with the
    // new capacity report.
    returnOrders(now, home, message, true, out);
    reportRooms(now, out);
}

void RunTracker::refuseOrders(Incarnation home, const StartRuns &message, RunOutbox &out)
{
    RunsEnded refused;
    for (const RunOrder &order : message.orders) {
        const RunKey key{message.job, message.step, order.index, order.run};
        refused.runs.push_back({key, RunResult::NotStarted, Duration(0)});
    }
    out.messages.emplace_back(home, std::move(refused));
}

void RunTracker::answerKnownOrder(Incarnation home, const RunKey &key, RunOutbox &out) const
{
    if (m_runs.heldFor(home, key))
        return;
    const EndedRun *kept = m_retainedEnds.find(home, key);
    // Two homes may choose the same number for a run of a job that both hold. The run of the other
    // home says nothing of this order.
    out.messages.emplace_back(
        home,
        RunsEnded{{kept != nullptr ? *kept : EndedRun{key, RunResult::NotStarted, Duration(0)}}});
}

void RunTracker::returnOrders(TimePoint now, Incarnation home, const StartRuns &message,
                              bool keepPatient, RunOutbox &out)
{
    for (const RunOrder &order : message.orders) {
        const RunKey key{message.job, message.step, order.index, order.run};
        const auto position = m_runs.find(key);
        if (!m_runs.heldFor(home, key) || position->second.state != RunState::Waiting)
            continue;
        // Its home would order the task elsewhere at once, beside the run that is still here.
        const bool patient = order.mayWait || m_runs.anotherStarted(key);
        if (!keepPatient || !patient)
            returnOrder(now, position, out);
    }
}

void RunTracker::handle(TimePoint now, Incarnation home, const StopRuns &message, RunOutbox &out)
{
    for (const RunKey &key : message.runs) {
        if (!m_runs.heldFor(home, key))
            continue;
        const auto position = m_runs.find(key);
        if (position->second.state == RunState::Waiting)
            returnOrder(now, position, out);
        else
            m_calls.requestStop(now, key, position->second, out);
    }
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::handle(TimePoint now, Incarnation home, const RunsAtAgent &message, RunOutbox &out)
{
    if (!m_reports.knows(home))
        return;
    // The home counts the others as over, and may have ordered their tasks elsewhere.
    stopOthers(now, home, {message.runs.begin(), message.runs.end()}, out);
    RunsEnded ended;
    for (const RunKey &key : message.runs) {
        if (m_runs.heldFor(home, key))
            continue;
        const EndedRun *kept = m_retainedEnds.find(home, key);
        // The order was lost with the previous link, so it can't arrive any more.
        ended.runs.push_back(kept != nullptr ? *kept
                                             : EndedRun{key, RunResult::NotStarted, Duration(0)});
    }
    if (!ended.runs.empty())
        out.messages.emplace_back(home, std::move(ended));
    startWaiting(now, out);
    m_reports.tell(now, home, describeRoom(now), out.messages);
    reportRooms(now, out);
}

void RunTracker::homeSilent(TimePoint now, Incarnation home, RunOutbox &out)
{
    m_reports.homeGone(home);
    stopOthers(now, home, {}, out);
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::stopOthers(TimePoint now, Incarnation home, const std::set<RunKey> &kept,
                            RunOutbox &out)
{
    for (auto position = m_runs.begin(); position != m_runs.end();) {
        const auto current = position++;
        if (current->second.home != home || kept.contains(current->first))
            continue;
        if (current->second.state == RunState::Waiting)
            returnOrder(now, current, out);
        else
            m_calls.requestStop(now, current->first, current->second, out);
    }
}

void RunTracker::machineSuspended(TimePoint now, RunOutbox &out)
{
    returnWaiting(now, out);
    for (auto &[key, run] : m_runs)
        m_calls.requestStop(now, key, run, out);
    reportRooms(now, out);
}

void RunTracker::setEvacuated(TimePoint now, bool evacuated, RunOutbox &out)
{
    if (evacuated == m_evacuated)
        return;
    m_evacuated = evacuated;
    if (evacuated)
        returnWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::beginStop(TimePoint now, RunOutbox &out)
{
    m_stopping = true;
    returnWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::advance(TimePoint now, RunOutbox &out)
{
    bool check = false;
    const bool exceeded = m_worker && m_runs.exceed(m_worker->room);
    m_calls.advance(now, m_runs, exceeded, m_statistics, out);
    while (const std::optional<Timer> timer = m_timers.popDue(now)) {
        if (timer->kind == TimerKind::Check)
            check = true;
        else
            m_retainedEnds.forget(timer->run);
    }
    if (!check) {
        m_reports.tellDue(now, describeRoom(now), out.messages);
        return;
    }
    const TrackedRuns::Waiting &waiting = m_runs.waiting();
    for (auto position = waiting.begin(); position != waiting.end();) {
        const auto run = m_runs.find((position++)->second);
        if (now >= run->second.received + m_settings.longestWait)
            returnOrder(now, run, out);
    }
    startWaiting(now, out);
    reportRooms(now, out);
}

bool RunTracker::accepting(TimePoint now) const
{
    return m_worker && m_listingReceived && !m_silent && m_runs.foreignRuns() == 0
        && !m_worker->draining && !m_stopping && !m_evacuated && !m_watch.suspended(now);
}

ResourceNeed RunTracker::freeRoom() const
{
    return m_worker ? m_runs.freeOf(m_worker->room) : ResourceNeed();
}

void RunTracker::startWaiting(TimePoint now, RunOutbox &out)
{
    if (!accepting(now))
        return;
    int looked = 0;
    const TrackedRuns::Waiting &waiting = m_runs.waiting();
    for (auto position = waiting.begin(); position != waiting.end() && looked < LookAhead;) {
        const auto run = m_runs.find((position++)->second);
        if (m_runs.anotherStarted(run->first))
            continue;
        if (!m_runs.fits(run->second, m_worker->room)) {
            ++looked;
            continue;
        }
        m_runs.start(now, run);
        ++m_statistics.started;
        m_calls.sendStart(now, run->first, run->second, out);
        if (m_watch.onProbation()) {
            m_watch.probeStarted();
            return returnWaiting(now, out);
        }
    }
}

void RunTracker::returnOrder(TimePoint now, TrackedRuns::Runs::iterator position, RunOutbox &out)
{
    end(now, position, RunResult::NotStarted, EndEvidence::NotSent, out);
}

void RunTracker::end(TimePoint now, TrackedRuns::Runs::iterator position, RunResult how,
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
        const bool suspendedBefore = m_watch.onProbation();
        m_watch.ended(now, key.job, how, ended.runTime, run.expected);
        if (suspendedBefore && how != RunResult::Done && how != RunResult::Failed)
            m_watch.probeAbandoned();
        if (how == RunResult::Failed && m_watch.onProbation()) {
            ++m_statistics.suspensions;
            logSuspension(now, "failures");
            scheduleCheck(*m_watch.probeAt());
            returnWaiting(now, out);
        }
        if (suspendedBefore && !m_watch.onProbation())
            LogEvent(LogLevel::Info, "worker_resumed").field("worker", workerName());
        m_statistics.count(how, evidence);
        if (evidence != EndEvidence::ListedEnd)
            logRunEnd(workerName(), ended, evidence);
    }
    m_retainedEnds.keep(now, run.home, ended);
    m_timers.schedule(now + m_settings.endRetention, Timer{TimerKind::ForgetEnd, key});
    out.messages.emplace_back(run.home, RunsEnded{{ended}});
}

void RunTracker::endAll(TimePoint now, EndEvidence evidence, RunOutbox &out)
{
    returnWaiting(now, out);
    while (!m_runs.empty()) {
        const auto position = m_runs.begin();
        end(now, position, position->second.resultWithoutWorker(), evidence, out);
    }
}

void RunTracker::returnWaiting(TimePoint now, RunOutbox &out)
{
    while (!m_runs.waiting().empty())
        returnOrder(now, m_runs.find(m_runs.waiting().begin()->second), out);
}

void RunTracker::checkStandstill(TimePoint now, RunOutbox &out)
{
    if (!standsStill(m_runs.ongoing(), m_watch, m_lastListing))
        return;
    ++m_statistics.standstills;
    suspend(now, "standstill", out);
    for (auto &[key, run] : m_runs) {
        if (run.state == RunState::Running)
            m_calls.requestStop(now, key, run, out);
    }
}

void RunTracker::suspend(TimePoint now, std::string_view reason, RunOutbox &out)
{
    ++m_statistics.suspensions;
    m_watch.suspend(now);
    logSuspension(now, reason);
    scheduleCheck(*m_watch.probeAt());
    returnWaiting(now, out);
}

void RunTracker::logSuspension(TimePoint now, std::string_view reason) const
{
    logWorkerSuspended(now, workerName(), reason, m_runs.size(), m_watch);
}

void RunTracker::logUnavailable(TimePoint now, std::string_view reason) const
{
    logWorkerUnavailable(now, workerName(), reason, m_runs.started());
}

void RunTracker::replaceWorker(TimePoint now, RunOutbox &out)
{
    if (m_listingReceived)
        logUnavailable(now, "replaced");
    m_listingReceived = false;
    m_silent = false;
    m_mayRenewLease = false;
    m_watch = WorkerHealth();
    for (auto position = m_runs.begin(); position != m_runs.end();) {
        const auto current = position++;
        TrackedRun &run = current->second;
        if (run.state == RunState::Waiting)
            returnOrder(now, current, out);
        else if ((run.listed && !run.attempts.anyUnresolved()) || run.foreign())
            end(now, current, RunResult::Lost, EndEvidence::NextLife, out);
        else
            m_calls.stopOnReplacedWorker(now, current->first, run, out);
    }
}

void RunTracker::adoptForeignRun(TimePoint now, const RunKey &key, TimePoint askedAt,
                                 RunOutbox &out)
{
    if (m_retainedEnds.endedSince(key, askedAt))
        return;
    m_calls.requestStop(now, key, m_runs.addForeign(now, key), out);
}

void RunTracker::reportRooms(TimePoint now, RunOutbox &out)
{
    std::set<Incarnation> writtenTo;
    for (const auto &[home, message] : out.messages)
        writtenTo.insert(home);
    m_reports.changed(now, describeRoom(now), writtenTo, out.messages);
}

WorkerRoom RunTracker::describeRoom(TimePoint now) const
{
    WorkerRoom room;
    room.accepting = accepting(now);
    room.settled = m_listingReceived && m_runs.foreignRuns() == 0;
    if (!m_worker)
        return room;
    room.service = m_worker->service;
    room.labels = m_worker->labels;
    room.total = m_worker->room;
    room.free = freeRoom();
    room.probation = m_watch.onProbation();
    room.overcommittedMilliProcessors = static_cast<std::uint32_t>(
        without<std::uint64_t>(m_runs.wantedMilliProcessors(), room.total.milliProcessors));
    room.slowdownPermille = static_cast<std::uint32_t>(m_watch.slowdown() * 1000);
    return room;
}

} // namespace Bluebellquay
