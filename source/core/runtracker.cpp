#include "core/runtracker.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

RunTracker::RunTracker(RunTrackerSettings settings)
    : m_contacts(settings.homeInTouchFor)
    , m_supervisor(settings, m_contacts)
    , m_reports(settings.lendRoom)
{ }

void RunTracker::workerAnnounced(TimePoint now, const WorkerProfile &profile, RunOutbox &out)
{
    const bool replaced = m_worker && !(m_worker->identity == profile.identity);
    if (replaced)
        replaceWorker(now, out);
    const bool news = !m_worker || replaced || m_worker->draining != profile.draining
        || !(m_worker->room == profile.room);
    m_worker = profile;
    if (!news)
        return;
    m_supervisor.setWorkerName(profile.identity.name);
    if (profile.draining)
        m_supervisor.returnWaiting(now, out);
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::workerLeaves(TimePoint now, RunOutbox &out)
{
    closeUntilAnswer(now, "leaves", out);
}

void RunTracker::workerLeft(TimePoint now, RunOutbox &out)
{
    m_supervisor.returnWaiting(now, out);
    m_worker.reset();
    m_supervisor.setWorkerName({});
    m_listingReceived = false;
    m_mayRenewLease = false;
    reportRooms(now, out);
}

void RunTracker::workerRefused(TimePoint now, RunOutbox &out)
{
    if (!m_worker || !m_listingReceived)
        return;
    ++m_supervisor.statistics().workerRefusals;
    m_listingReceived = false;
    m_supervisor.logUnavailable(now, "refused");
    m_supervisor.returnWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::workerSilent(TimePoint now, RunOutbox &out)
{
    if (closeUntilAnswer(now, "silent", out))
        ++m_supervisor.statistics().workerSilences;
}

bool RunTracker::closeUntilAnswer(TimePoint now, std::string_view reason, RunOutbox &out)
{
    if (!m_worker || !m_listingReceived || m_silent)
        return false;
    m_silent = true;
    m_supervisor.logUnavailable(now, reason);
    m_supervisor.returnWaiting(now, out);
    reportRooms(now, out);
    return true;
}

void RunTracker::leaseExpired(TimePoint now, RunOutbox &out)
{
    ++m_supervisor.statistics().leasesExpired;
    m_supervisor.leaseExpired(now, out);
    m_listingReceived = false;
    reportRooms(now, out);
}

void RunTracker::listingReceived(TimePoint now, const RunListing &listing, RunOutbox &out)
{
    if (!m_worker || !(listing.worker == m_worker->identity))
        return;
    // A running row that can't be read may be a run of an earlier incarnation. It ends with its
    // lease, which is not renewed before.
    m_listingReceived = m_listingReceived || listing.unreadableRunning == 0;
    m_silent = false;
    m_supervisor.listingReceived(now, listing, out);
    m_mayRenewLease = m_mayRenewLease || (m_listingReceived && tracked().foreignRuns() == 0);
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::startAnswered(TimePoint now, const RunKey &key, StartAnswer answer, RunOutbox &out)
{
    if (!m_supervisor.startAnswered(now, key, answer, out))
        return;
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::stopAnswered(TimePoint now, const RunKey &key, bool answered, RunOutbox &out)
{
    m_supervisor.stopAnswered(now, key, answered, out);
}

void RunTracker::homeUp(TimePoint now, Incarnation home)
{
    m_reports.homeUp(home);
    m_contacts.homeUp(home);
    m_reports.setInTouch(home, m_contacts.inTouch(now, home));
}

void RunTracker::homeAlive(TimePoint now, Incarnation home, TimePoint at, RunOutbox &out)
{
    const bool back = m_contacts.alive(now, home, at);
    if (back)
        m_reports.setInTouch(home, true);
    // Orders may have waited for this contact.
    const bool ordersWait = !tracked().waiting().empty();
    if (ordersWait)
        startWaiting(now, out);
    if (back || ordersWait)
        reportRooms(now, out);
}

bool RunTracker::loseHomes(TimePoint now, RunOutbox &out)
{
    const std::vector<Incarnation> lost = m_contacts.expire(now);
    for (const Incarnation home : lost) {
        ++m_supervisor.statistics().homesOutOfTouch;
        logHomeOutOfTouch(home, now - *m_contacts.latest(home), m_supervisor.runs().countOf(home));
        m_reports.setInTouch(home, false);
        m_supervisor.stopOthers(now, home, {}, out);
    }
    return !lost.empty();
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
    loseHomes(now, out);
    for (const RunOrder &order : message.orders) {
        m_reports.orderReceived(home, order.order);
        const RunKey key{message.job, message.step, order.index, order.run};
        if (tracked().contains(key) || m_supervisor.retainedEnds().contains(key)) {
            answerKnownOrder(home, key, out);
            continue;
        }
        ++m_supervisor.statistics().ordersReceived;
        m_supervisor.statistics().ordersEvacuated += m_evacuated ? 1 : 0;
        m_supervisor.addWaiting(now, home, message, order);
    }
    if (m_reports.retired(home) || !m_contacts.inTouch(now, home))
        returnOrders(now, home, message, false, out);
    startWaiting(now, out);
    if (anyStarted(message))
        m_reports.orderTaken(home);
    if (!accepting(now))
        m_supervisor.returnWaiting(now, out);
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
    if (tracked().heldFor(home, key))
        return;
    const EndedRun *kept = m_supervisor.retainedEnds().find(home, key);
    // Two homes may choose the same number for a run of a job that both hold. The run of the other
    // home says nothing of this order.
    out.messages.emplace_back(
        home,
        RunsEnded{{kept != nullptr ? *kept : EndedRun{key, RunResult::NotStarted, Duration(0)}}});
}

RoomClaim RunTracker::claimOf(TimePoint now, const StartRuns &message, const RunOrder &order)
{
    const Duration spare = message.timeLeft - order.expectedRunTime;
    return {{spare < Duration(0), message.priority, now + spare},
            message.need.milliProcessors + order.keepFree};
}

bool RunTracker::anyStarted(const StartRuns &message) const
{
    return std::any_of(message.orders.begin(), message.orders.end(), [&](const RunOrder &order) {
        return tracked().holdsStarted({message.job, message.step, order.index, order.run});
    });
}

void RunTracker::returnOrders(TimePoint now, Incarnation home, const StartRuns &message,
                              bool keepPatient, RunOutbox &out)
{
    for (const RunOrder &order : message.orders) {
        const RunKey key{message.job, message.step, order.index, order.run};
        const auto position = m_supervisor.runs().find(key);
        if (!tracked().heldFor(home, key) || position->second.state != RunState::Waiting)
            continue;
        if (keepPatient && mayStay(now, order, key, position->second))
            continue;
        if (keepPatient && accepting(now))
            m_reports.orderReturned(now, home, claimOf(now, message, order));
        m_supervisor.returnOrder(now, position, out);
    }
}

bool RunTracker::mayStay(TimePoint now, const RunOrder &order, const RunKey &key,
                         const TrackedRun &run)
{
    if (waitsForContact(run)) {
        ++m_supervisor.statistics().ordersAwaitingContact;
        logOrderAwaitsContact(key, run.home, now - *m_contacts.latest(run.home),
                              m_supervisor.leaseEnd() - now);
        return true;
    }
    // Its home would order the task elsewhere at once, beside the run that is still here.
    return order.mayWait || tracked().anotherStarted(key);
}

bool RunTracker::waitsForContact(const TrackedRun &run) const
{
    return m_worker && tracked().fits(run, m_worker->room) && !m_supervisor.leaseAllowsStart(run);
}

void RunTracker::handle(TimePoint now, Incarnation home, const StopRuns &message, RunOutbox &out)
{
    for (const RunKey &key : message.runs) {
        if (!tracked().heldFor(home, key))
            continue;
        m_supervisor.stop(now, m_supervisor.runs().find(key), out);
    }
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::handle(TimePoint now, Incarnation home, const RunsAtAgent &message, RunOutbox &out)
{
    if (!m_reports.knows(home))
        return;
    // The home counts the others as over, and may have ordered their tasks elsewhere.
    m_supervisor.stopOthers(now, home, {message.runs.begin(), message.runs.end()}, out);
    RunsEnded ended;
    for (const RunKey &key : message.runs) {
        if (tracked().heldFor(home, key))
            continue;
        const EndedRun *kept = m_supervisor.retainedEnds().find(home, key);
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
    m_supervisor.stopOthers(now, home, {}, out);
    m_contacts.homeGone(home);
    startWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::machineSuspended(TimePoint now, RunOutbox &out)
{
    m_supervisor.stopAll(now, out);
    reportRooms(now, out);
}

void RunTracker::setEvacuated(TimePoint now, bool evacuated, RunOutbox &out)
{
    if (evacuated == m_evacuated)
        return;
    m_evacuated = evacuated;
    if (evacuated)
        m_supervisor.returnWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::beginStop(TimePoint now, RunOutbox &out)
{
    m_stopping = true;
    m_supervisor.returnWaiting(now, out);
    reportRooms(now, out);
}

void RunTracker::advance(TimePoint now, RunOutbox &out)
{
    const bool exceeded = m_worker && tracked().exceed(m_worker->room);
    const bool lost = loseHomes(now, out);
    if (!m_supervisor.advance(now, exceeded, out) && !lost)
        return m_reports.tellDue(now, describeRoom(now), out.messages);
    startWaiting(now, out);
    reportRooms(now, out);
}

bool RunTracker::accepting(TimePoint now) const
{
    return m_worker && m_listingReceived && !m_silent && tracked().foreignRuns() == 0
        && !m_worker->draining && !m_stopping && !m_evacuated
        && !m_supervisor.health().suspended(now);
}

ResourceNeed RunTracker::freeRoom() const
{
    return m_worker ? tracked().freeOf(m_worker->room) : ResourceNeed();
}

void RunTracker::startWaiting(TimePoint now, RunOutbox &out)
{
    if (accepting(now))
        m_supervisor.startWaiting(now, m_worker->room, out);
}

void RunTracker::replaceWorker(TimePoint now, RunOutbox &out)
{
    if (m_listingReceived)
        m_supervisor.logUnavailable(now, "replaced");
    m_listingReceived = false;
    m_silent = false;
    m_mayRenewLease = false;
    // A home counts the crash for the runs that it still counts on the worker.
    reportRooms(now, out);
    m_supervisor.workerReplaced(now, out);
}

void RunTracker::reportRooms(TimePoint now, RunOutbox &out)
{
    std::set<Incarnation> writtenTo;
    for (const auto &[home, message] : out.messages)
        writtenTo.insert(home);
    m_reports.updateUse(now, [this](Incarnation home) { return tracked().heldBy(home); });
    m_reports.changed(now, describeRoom(now), writtenTo, out.messages);
}

WorkerRoom RunTracker::describeRoom(TimePoint now) const
{
    WorkerRoom room;
    room.accepting = accepting(now);
    // Homes count a crash for the runs that end before the worker is settled again.
    room.settled =
        m_listingReceived && tracked().foreignRuns() == 0 && tracked().runsOfEarlierLives() == 0;
    if (!m_worker)
        return room;
    room.service = m_worker->service;
    room.labels = m_worker->labels;
    room.total = m_worker->room;
    room.free = freeRoom();
    room.probation = m_supervisor.health().onProbation();
    room.overcommittedMilliProcessors = static_cast<std::uint32_t>(
        without<std::uint64_t>(tracked().wantedMilliProcessors(), room.total.milliProcessors));
    room.slowdownPermille = static_cast<std::uint32_t>(m_supervisor.health().slowdown() * 1000);
    return room;
}

} // namespace Bluebellquay
