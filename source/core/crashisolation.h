// Limits how many workers the tasks of one queue can take down. The load is jobs some of whose
// tasks crash each worker that starts them: wherever such a task is placed, a worker and all that
// runs there is lost for seconds.
//
// After a crash the workers of the service are divided into groups for a while, and each queue
// prefers the workers of one group, or stays there if workers go on crashing. The group in which
// they do shows which queue is at fault. That queue is then confined to its group, which is widened
// to half of the workers and which the others avoid, until no worker has crashed for a while. As
// long as workers go on crashing, its jobs run alone on theirs. The others stay apart meanwhile, so
// that a wrong finding shows. Workers that crash at the same time in several groups have lost power
// or a network, and say nothing of the queues.
//
// All homes see the crashes of all workers that they share, and divide queues and workers by name,
// so they mostly come to the same division without messages. Homes tell each other what they have
// found all the same: for those that start later, and since two different divisions protect
// nothing.
#pragma once

#include "base/coretime.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

// Whether the tasks of a queue may be placed on a worker.
enum class WorkerAccess : std::uint8_t {
    Open,
    Avoided,    // only if no open worker has room
    LastResort, // only if no other worker has room
    Forbidden,  // the queue is confined to other workers, or kept there for a while
};

// A division in which the queues of one group are confined, as homes tell each other.
struct Confinement
{
    // Group of each queue and worker, by name.
    using Groups = std::map<std::string, std::size_t>;

    std::string service;
    std::size_t groups = 0;
    // The group whose queues are confined to its workers; below `groups`.
    std::size_t confined = 0;
    Groups queues;
    Groups agents;
    // How long it lasts, unless further workers crash.
    Duration left{0};
};

class CrashIsolation
{
public:
    // Groups into which the workers of a service are divided. More tell queues apart better, and
    // leave each of them less room until the one at fault is found.
    static constexpr std::size_t MaxGroups = 3;
    // One worker in this many is in the group of a confined queue, which takes down no others.
    static constexpr std::size_t ConfinedPart = 2;
    // A group's queues are at fault after this many crashes in the group since the workers were
    // divided, or since another group was found at fault, if there were at most half as many in
    // each other one.
    static constexpr unsigned CrashesToConfine = 2;
    // 150 ms. Crashes this close together may have one cause: an agent notices a crash with its
    // next call, 120 ms later at most.
    static constexpr Duration CommonCauseSpan{150'000};
    // 1 s. Until no worker has crashed for this long, or the queues at fault are found, tasks under
    // which a worker has crashed would only crash more of them.
    static constexpr Duration QuietSpan{1'000'000};
    // 2 s. When workers crash again after a division, each queue stays in its group for this long
    // after each crash, so that the next crash tells more. Before that it only prefers its group.
    static constexpr Duration ApartSpan{2'000'000};
    // A division ends when no worker has crashed for this long. Longer than a worker takes to
    // start again: while all workers of a group are down, none of them can crash.
    static constexpr Duration FirstHold{6'000'000};
    // The hold doubles each time that this home finds queues of the service at fault.
    static constexpr Duration LongestHold{60'000'000};

    // A worker of the service crashed. Queues: those with a part in its load; agents: those of all
    // linked workers of the service. Both by name.
    void workerCrashed(TimePoint now, const std::string &service, const std::string &agent,
                       const std::vector<std::string> &queues,
                       const std::vector<std::string> &agents);
    // Ends the divisions whose time is over.
    void advance(TimePoint now);

    // Another home has found this. Takes it over if this home has confined no queue of the service
    // or the other home goes first; of each two homes it is the same one that does. Ignores one
    // that is not consistent.
    void adopt(TimePoint now, const Confinement &confinement, bool otherGoesFirst);
    // What homes that start later are to adopt.
    std::vector<Confinement> confinements(TimePoint now) const;
    // Rises when other homes are to be told confinements() anew.
    std::uint64_t version() const { return m_version; }

    WorkerAccess access(const std::string &service, const std::string &queue,
                        const std::string &agent) const;
    // Whether the queues of the service are kept apart.
    bool divided(const std::string &service) const { return divisionOf(service) != nullptr; }
    // Whether the queue is at fault and confined to a group of the service's workers.
    bool confined(const std::string &service, const std::string &queue) const;
    // Whether tasks of the two queues may take room that the other one waits for.
    bool shareWorkers(const std::string &service, const std::string &queue,
                      const std::string &other) const;
    // Whether each job of the queue needs workers of its own, so that a crash tells which job is at
    // fault and takes no other one with it.
    bool mustRunAlone(const std::string &service, const std::string &queue) const;
    // Whether a task of the queue under which a worker has crashed is to wait.
    bool mustWait(TimePoint now, const std::string &service, const std::string &queue) const;

private:
    using Groups = Confinement::Groups;
    struct Division
    {
        Groups queues;
        Groups agents;
        // Crashes in each group that may tell which queues are at fault.
        std::vector<unsigned> crashes;
        // Crashes within CommonCauseSpan of the first of them, by group; not yet in `crashes`.
        std::map<std::size_t, unsigned> latest;
        TimePoint latestBegan{};
        TimePoint lastCrash{};
        // Each queue stays in its group, since workers have crashed after the division.
        bool apart = false;
        // Crashes until then may be due to tasks that were placed before the division.
        TimePoint ignoredUntil{};
        // The group whose queues are at fault.
        std::optional<std::size_t> confined;
        TimePoint until{};
        // Other homes have been told that it lasts until then.
        TimePoint toldUntil{};
    };
    struct Service
    {
        std::optional<Division> division;
        Duration hold = FirstHold;
    };

    static void divide(TimePoint now, Service &service, const std::string &name,
                       const std::vector<std::string> &queues,
                       const std::vector<std::string> &agents);
    static void countCrash(TimePoint now, Division &division, const std::string &agent);
    // Homes are linked to different workers, so one that another home has divided may be unknown.
    static std::size_t groupOf(const Division &division, const std::string &agent);
    // Judges the latest crashes together.
    void settleLatest(TimePoint now, Service &service, const std::string &name);
    // Confines the queues of the group.
    static void confine(Division &division, const std::string &name, std::size_t group);
    // Moves agents of other groups to this one until it has its part of them.
    static void widen(Groups &agents, std::size_t group);
    // Has other homes told if what they know of the division ends too early.
    void tell(TimePoint now, Service &service);
    // Whether all groups are among those that the confinement counts.
    static bool isConsistent(const Confinement &confinement);
    static bool isSame(const Division &division, const Confinement &confinement);
    // Whether the group has so many crashes, and the others so few, that its queues are at fault.
    static bool atFault(const Division &division, std::size_t group);
    const Division *divisionOf(const std::string &service) const;

    std::map<std::string, Service> m_services;
    std::uint64_t m_version = 0;
};

} // namespace Bluebellquay
