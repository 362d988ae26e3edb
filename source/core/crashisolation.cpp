#include "core/crashisolation.h"

#include "kernel/log.h"

#include <xxhash.h>

#include <utility>

namespace Bluebellquay {

namespace {

// Deals the names to the groups in turn, in this order.
std::map<std::string, std::size_t> dealOut(const std::vector<std::string> &ordered,
                                           std::size_t groups)
{
    std::map<std::string, std::size_t> dealt;
    for (std::size_t i = 0; i < ordered.size(); ++i)
        dealt[ordered[i]] = i % groups;
    return dealt;
}

std::uint64_t hashOf(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

// Neighbours by name are often on one rack or in one data centre, so workers are dealt out in the
// order of the hashes of their names.
std::vector<std::string> inHashOrder(const std::vector<std::string> &names)
{
    std::vector<std::pair<std::uint64_t, std::string>> hashed;
    hashed.reserve(names.size());
    for (const std::string &name : names)
        hashed.emplace_back(hashOf(name), name);
    std::sort(hashed.begin(), hashed.end());
    std::vector<std::string> ordered;
    ordered.reserve(hashed.size());
    for (auto &[hash, name] : hashed)
        ordered.push_back(std::move(name));
    return ordered;
}

} // namespace

void CrashIsolation::workerCrashed(TimePoint now, const std::string &service,
                                   const std::string &agent, const std::vector<std::string> &queues,
                                   const std::vector<std::string> &agents)
{
    advance(now);
    Service &state = m_services[service];
    if (!state.division && queues.size() > 1 && agents.size() > 1)
        divide(now, state, service, queues, agents);
    else if (state.division)
        countCrash(now, *state.division, agent);
}

void CrashIsolation::divide(TimePoint now, Service &service, const std::string &name,
                            const std::vector<std::string> &queues,
                            const std::vector<std::string> &agents)
{
    const std::size_t groups = std::min({queues.size(), agents.size(), MaxGroups});
    std::vector<std::string> ordered = queues;
    std::sort(ordered.begin(), ordered.end());
    Division division;
    division.queues = dealOut(ordered, groups);
    division.agents = dealOut(inHashOrder(agents), groups);
    division.crashes.assign(groups, 0);
    division.until = now + service.hold;
    division.lastCrash = now;
    division.ignoredUntil = now + CommonCauseSpan;
    service.division = std::move(division);
    LogEvent(LogLevel::Warning, "workers_divided")
        .field("service", name)
        .field("groups", groups)
        .field("queues", queues.size())
        .field("workers", agents.size());
}

void CrashIsolation::countCrash(TimePoint now, Division &division, const std::string &agent)
{
    division.lastCrash = now;
    if (now < division.ignoredUntil)
        return;
    division.apart = true;
    if (division.latest.empty())
        division.latestBegan = now;
    ++division.latest[groupOf(division, agent)];
}

void CrashIsolation::settleLatest(TimePoint now, Service &service, const std::string &name)
{
    Division &division = *service.division;
    if (division.latest.empty() || now < division.latestBegan + CommonCauseSpan)
        return;
    const auto latest = std::exchange(division.latest, {});
    division.until = std::max(division.until, now + service.hold);
    if (latest.size() == 1) {
        const auto [group, crashes] = *latest.begin();
        division.crashes[group] += crashes;
        if (division.confined != group && atFault(division, group)) {
            confine(division, name, group);
            service.hold = std::min(service.hold * 2, LongestHold);
        }
    }
    tell(now, service);
}

void CrashIsolation::confine(Division &division, const std::string &name, std::size_t group)
{
    division.confined = group;
    widen(division.agents, group);
    std::string queues;
    for (const auto &[queue, queueGroup] : division.queues)
        queues += queueGroup == group ? (queues.empty() ? "" : ",") + queue : "";
    LogEvent(LogLevel::Warning, "queues_confined")
        .field("service", name)
        .field("queues", queues)
        .field("crashes", division.crashes[group]);
    std::fill(division.crashes.begin(), division.crashes.end(), 0);
    division.toldUntil = TimePoint();
}

void CrashIsolation::widen(Groups &agents, std::size_t group)
{
    const auto isIn = [group](const auto &item) { return item.second == group; };
    auto size = static_cast<std::size_t>(std::count_if(agents.begin(), agents.end(), isIn));
    std::vector<std::string> names;
    names.reserve(agents.size());
    for (const auto &[name, other] : agents)
        names.push_back(name);
    for (const std::string &name : inHashOrder(names)) {
        if (size >= agents.size() / ConfinedPart)
            return;
        size += agents[name] == group ? 0 : 1;
        agents[name] = group;
    }
}

void CrashIsolation::tell(TimePoint now, Service &service)
{
    Division &division = *service.division;
    if (!division.confined || division.toldUntil > now + FirstHold / 2)
        return;
    division.toldUntil = division.until;
    ++m_version;
}

void CrashIsolation::adopt(TimePoint now, const Confinement &confinement, bool otherGoesFirst)
{
    if (!isConsistent(confinement) || confinement.left <= Duration(0))
        return;
    Service &service = m_services[confinement.service];
    const TimePoint until = now + std::min(confinement.left, LongestHold);
    const bool found = service.division && service.division->confined;
    if (found && isSame(*service.division, confinement)) {
        service.division->until = std::max(service.division->until, until);
        return;
    }
    if (found && !otherGoesFirst)
        return;
    Division division;
    division.queues = confinement.queues;
    division.agents = confinement.agents;
    division.crashes.assign(confinement.groups, 0);
    division.until = until;
    confine(division, confinement.service, confinement.confined);
    service.division = std::move(division);
    tell(now, service);
}

bool CrashIsolation::isConsistent(const Confinement &confinement)
{
    const auto known = [&](const auto &item) { return item.second < confinement.groups; };
    return confinement.groups <= MaxGroups && confinement.confined < confinement.groups
        && std::all_of(confinement.queues.begin(), confinement.queues.end(), known)
        && std::all_of(confinement.agents.begin(), confinement.agents.end(), known);
}

bool CrashIsolation::isSame(const Division &division, const Confinement &confinement)
{
    return division.confined == confinement.confined && division.queues == confinement.queues
        && division.agents == confinement.agents;
}

std::vector<Confinement> CrashIsolation::confinements(TimePoint now) const
{
    std::vector<Confinement> found;
    for (const auto &[name, service] : m_services) {
        if (!service.division || !service.division->confined)
            continue;
        const Division &division = *service.division;
        found.push_back({name, division.crashes.size(), *division.confined, division.queues,
                         division.agents, division.until - now});
    }
    return found;
}

bool CrashIsolation::atFault(const Division &division, std::size_t group)
{
    const unsigned crashes = division.crashes[group];
    for (std::size_t other = 0; other < division.crashes.size(); ++other) {
        if (other != group && division.crashes[other] * 2 > crashes)
            return false;
    }
    return crashes >= CrashesToConfine;
}

void CrashIsolation::advance(TimePoint now)
{
    for (auto &[name, service] : m_services) {
        if (service.division) {
            settleLatest(now, service, name);
            service.division->apart =
                service.division->apart && now < service.division->lastCrash + ApartSpan;
        }
        if (!service.division || now < service.division->until)
            continue;
        if (service.division->confined)
            ++m_version;
        else
            service.hold = FirstHold;
        service.division.reset();
        LogEvent(LogLevel::Info, "workers_united").field("service", name);
    }
}

std::size_t CrashIsolation::groupOf(const Division &division, const std::string &agent)
{
    const auto position = division.agents.find(agent);
    return position != division.agents.end() ? position->second
                                             : hashOf(agent) % division.crashes.size();
}

WorkerAccess CrashIsolation::access(const std::string &service, const std::string &queue,
                                    const std::string &agent) const
{
    const Division *division = divisionOf(service);
    if (division == nullptr)
        return WorkerAccess::Open;
    const auto queueGroup = division->queues.find(queue);
    const bool known = queueGroup != division->queues.end();
    const std::size_t group = groupOf(*division, agent);
    if (known && queueGroup->second == group)
        return WorkerAccess::Open;
    if (!division->confined && known)
        return division->apart ? WorkerAccess::Forbidden : WorkerAccess::Avoided;
    if (!division->confined)
        return WorkerAccess::Open;
    if (known && queueGroup->second == *division->confined)
        return WorkerAccess::Forbidden;
    return group == *division->confined ? WorkerAccess::LastResort : WorkerAccess::Avoided;
}

bool CrashIsolation::confined(const std::string &service, const std::string &queue) const
{
    const Division *division = divisionOf(service);
    if (division == nullptr || !division->confined)
        return false;
    const auto group = division->queues.find(queue);
    return group != division->queues.end() && group->second == *division->confined;
}

bool CrashIsolation::shareWorkers(const std::string &service, const std::string &queue,
                                  const std::string &other) const
{
    const Division *division = divisionOf(service);
    if (division == nullptr)
        return true;
    if (division->confined)
        return confined(service, queue) == confined(service, other);
    const auto group = division->queues.find(queue);
    const auto otherGroup = division->queues.find(other);
    return !division->apart || group == division->queues.end()
        || otherGroup == division->queues.end() || group->second == otherGroup->second;
}

bool CrashIsolation::mustRunAlone(const std::string &service, const std::string &queue) const
{
    const Division *division = divisionOf(service);
    return division != nullptr && division->apart && confined(service, queue);
}

bool CrashIsolation::mustWait(TimePoint now, const std::string &service,
                              const std::string &queue) const
{
    const Division *division = divisionOf(service);
    if (division == nullptr)
        return false;
    return division->confined ? confined(service, queue) : now < division->lastCrash + QuietSpan;
}

const CrashIsolation::Division *CrashIsolation::divisionOf(const std::string &service) const
{
    const auto position = m_services.find(service);
    return position != m_services.end() && position->second.division ? &*position->second.division
                                                                     : nullptr;
}

} // namespace Bluebellquay
