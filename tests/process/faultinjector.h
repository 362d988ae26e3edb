// Causes faults on a site of real processes from a seed: kills, freezes, cuts, silent links and
// outages of the table service, alone and overlapping.
#pragma once

#include "process/chaosworkload.h"
#include "process/site.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

// A time from which on the process at this number can't have kept what it held: killed, or frozen
// for longer than the site waits for a lost agent.
struct LostProcess
{
    // "agent" or "upstream" with its number.
    bool agent = false;
    unsigned number = 0;
    ChaosClock::time_point at;
    // Incarnation that ended, in the form of submission ids; empty for upstreams and frozen agents.
    std::string incarnation;
};

class FaultInjector
{
public:
    FaultInjector(Site &site, std::uint64_t seed);

    // Causes one fault, and ends those whose time is over. Blocks for a short time.
    void step();
    // Ends all faults, so that every process runs and every link passes.
    void heal();

    const std::vector<LostProcess> &lost() const { return m_lost; }
    // Faults caused so far, by kind.
    const std::map<std::string, unsigned> &counts() const { return m_counts; }
    unsigned total() const { return m_total; }

private:
    struct Repair
    {
        ChaosClock::time_point due;
        std::function<void()> action;
    };

    std::size_t below(std::size_t limit);
    void cause(const std::string &kind, const std::string &target);
    void repairLater(std::chrono::milliseconds delay, std::function<void()> action);
    void repairDue(bool all);
    void killAgent();
    void killEntry();
    void killUpstream();
    void killTable();
    void freeze();
    void disturbLink();

    Site &m_site;
    std::mt19937_64 m_random;
    std::vector<Repair> m_repairs;
    // Processes with a fault that is not repaired yet; they get no second one of a kill or freeze.
    std::map<std::string, bool> m_busy;
    std::vector<LostProcess> m_lost;
    std::map<std::string, unsigned> m_counts;
    unsigned m_total = 0;
};

} // namespace Bluebellquay::Testing
