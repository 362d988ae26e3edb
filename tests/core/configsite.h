// A site of ConfigManagers, agents and a faulty table under virtual time, and checks what
// operators are told against the documents in force.
#pragma once

#include "configfixture.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bluebellquay {

class ConfigSite
{
public:
    explicit ConfigSite(std::uint64_t seed);

    // A minute of changes, races, outages and restarts, then a minute of quiet.
    void run();
    // Violations that the checks found; empty if there are none.
    const std::vector<std::string> &faults() const { return m_faults; }
    // Changes that operators were told to be applied.
    std::size_t appliedChanges() const { return m_applied.size(); }
    std::size_t restarts() const { return m_restarts; }

private:
    struct Entry
    {
        std::unique_ptr<ConfigManager> manager;
        // Number of starts; results for earlier runs are dropped.
        std::uint64_t run = 0;
        ConfigVersion highest;
        // Highest version of a peer or the table when this run started.
        ConfigVersion floor;
        bool ready = false;
        std::map<CallId, ConfigChange> changes;
    };
    struct Agent
    {
        std::optional<ConfigDocument> document;
        // Runs of the entries that the agent has linked to.
        std::map<std::size_t, std::uint64_t> links;
    };
    using Event = std::function<void()>;

    void at(Duration delay, Event event);
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    Duration randomTime(int maxMilliseconds);

    void startEntry(std::size_t index);
    void advanceEntry(std::size_t index, std::uint64_t run);
    void carryOut(std::size_t index, ConfigOutbox &out);
    void read(std::size_t index, const TableGet &get);
    void write(std::size_t index, const TablePut &put);
    bool executePut(const TablePut &put);
    void sendHeartbeat(std::size_t agent, std::size_t entry);
    void runOperator();
    void ended(std::size_t index, const ApplyEnd &end);
    void recordInForce(const ConfigDocument &document);
    void checkEntry(Entry &entry);
    void checkFinalState();
    void fault(std::string text) { m_faults.push_back(std::move(text)); }

    std::mt19937_64 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, Event> m_events;
    bool m_quiet = false;
    TimePoint m_tableDownUntil;
    TableRow m_row{"config/rules", 0, {}};
    std::vector<Entry> m_entries;
    std::vector<Agent> m_agents;
    std::uint64_t m_lastCall = 0;
    std::vector<ConfigChange> m_unfinished;
    std::size_t m_restarts = 0;
    // Every document that was in force anywhere.
    std::map<ConfigVersion, ConfigDocument> m_inForce;
    // Change ids and versions that operators were told to be applied.
    std::map<std::string, ConfigVersion> m_applied;
    std::map<std::string, int> m_tries;
    // Change ids of which operators were told that nothing was written.
    std::set<std::string> m_notWritten;
    std::vector<std::string> m_faults;
};

} // namespace Bluebellquay
