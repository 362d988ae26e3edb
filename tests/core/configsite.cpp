#include "configsite.h"

#include <algorithm>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr std::size_t Entries = 3;
constexpr std::size_t Agents = 4;
constexpr Duration BeatInterval{500'000};
constexpr Duration Busy{60'000'000};
constexpr Duration Quiet{60'000'000};
constexpr Duration TableTimeout{3'000'000};

Incarnation incarnationOf(std::size_t agent)
{
    return Incarnation(100 + agent);
}

ConfigVersion versionOf(const std::optional<ConfigDocument> &document)
{
    return document ? document->version : ConfigVersion();
}

} // namespace

ConfigSite::ConfigSite(std::uint64_t seed)
    : m_random(seed)
    , m_entries(Entries)
    , m_agents(Agents)
{ }

void ConfigSite::run()
{
    for (std::size_t entry = 0; entry < Entries; ++entry)
        startEntry(entry);
    for (std::size_t agent = 0; agent < Agents; ++agent) {
        for (std::size_t entry = 0; entry < Entries; ++entry)
            at(randomTime(500), [this, agent, entry] { sendHeartbeat(agent, entry); });
    }
    at(Duration(0), [this] { runOperator(); });
    at(Busy, [this] {
        m_quiet = true;
        m_tableDownUntil = m_now;
    });
    while (!m_events.empty() && m_events.begin()->first <= TimePoint(Busy + Quiet)) {
        const auto first = m_events.begin();
        m_now = first->first;
        const Event event = std::move(first->second);
        m_events.erase(first);
        event();
    }
    checkFinalState();
}

void ConfigSite::at(Duration delay, Event event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

Duration ConfigSite::randomTime(int maxMilliseconds)
{
    return std::chrono::milliseconds(m_random() % static_cast<unsigned>(maxMilliseconds));
}

void ConfigSite::startEntry(std::size_t index)
{
    Entry &entry = m_entries[index];
    ++entry.run;
    entry.manager = std::make_unique<ConfigManager>(ConfigManagerSettings(), m_now);
    entry.highest = ConfigVersion();
    entry.ready = false;
    entry.changes.clear();
    entry.floor = ConfigVersion();
    for (const Agent &agent : m_agents)
        entry.floor = std::max(entry.floor, versionOf(agent.document));
    advanceEntry(index, entry.run);
}

void ConfigSite::advanceEntry(std::size_t index, std::uint64_t run)
{
    if (m_entries[index].run != run)
        return;
    ConfigOutbox out;
    m_entries[index].manager->advance(m_now, out);
    carryOut(index, out);
    at(std::chrono::milliseconds(50), [this, index, run] { advanceEntry(index, run); });
}

void ConfigSite::carryOut(std::size_t index, ConfigOutbox &out)
{
    Entry &entry = m_entries[index];
    if (out.changed)
        recordInForce(entry.manager->current()->document);
    for (const Envelope &envelope : out.messages) {
        const auto agent = static_cast<std::size_t>(envelope.to.value() - 100);
        if (!std::holds_alternative<ConfigRequest>(envelope.message) || !m_agents[agent].document
            || chance(10))
            continue;
        at(randomTime(20), [this, index, run = entry.run, copy = *m_agents[agent].document] {
            if (m_entries[index].run != run)
                return;
            ConfigOutbox answer;
            m_entries[index].manager->handle(copy, answer);
            carryOut(index, answer);
        });
    }
    for (const TableGet &get : out.reads)
        read(index, get);
    for (const TablePut &put : out.writes)
        write(index, put);
    for (const ApplyEnd &end : out.ends)
        ended(index, end);
    checkEntry(entry);
}

void ConfigSite::read(std::size_t index, const TableGet &get)
{
    const bool down = m_now < m_tableDownUntil || (!m_quiet && chance(5));
    const Duration delay = down ? TableTimeout : randomTime(m_quiet ? 20 : 300);
    // Reads the row when the request arrives, so that a slow answer may be outdated.
    const auto row = down ? std::nullopt : std::optional(m_row);
    at(delay, [this, index, run = m_entries[index].run, operation = get.operation, row] {
        if (m_entries[index].run != run)
            return;
        ConfigOutbox out;
        m_entries[index].manager->rowRead(m_now, operation, row, out);
        carryOut(index, out);
    });
}

void ConfigSite::write(std::size_t index, const TablePut &put)
{
    const auto answer = [this, index, run = m_entries[index].run,
                         operation = put.operation](std::optional<TableWrite> write) {
        if (m_entries[index].run != run)
            return;
        ConfigOutbox out;
        m_entries[index].manager->rowWritten(m_now, operation, write, out);
        carryOut(index, out);
    };
    if (m_now < m_tableDownUntil || (!m_quiet && chance(15))) {
        // No answer; half of these take effect, possibly long after the caller has given up.
        if (chance(50))
            at(randomTime(8'000), [this, put] { executePut(put); });
        at(TableTimeout, [answer] { answer(std::nullopt); });
        return;
    }
    at(randomTime(m_quiet ? 20 : 200), [this, put, answer] {
        const bool ok = executePut(put);
        const TableWrite result{ok, m_row.version};
        at(randomTime(50), [answer, result] { answer(result); });
    });
}

bool ConfigSite::executePut(const TablePut &put)
{
    if (put.expectedVersion != m_row.version)
        return false;
    const auto before = parseConfigRow(m_row.value);
    const auto after = parseConfigRow(put.value);
    if (before && after && after->version <= before->version)
        fault("the table's version fell");
    m_row = {put.key, m_row.version + 1, put.value};
    return true;
}

void ConfigSite::sendHeartbeat(std::size_t agentIndex, std::size_t entryIndex)
{
    Agent &agent = m_agents[agentIndex];
    Entry &entry = m_entries[entryIndex];
    if (agent.links[entryIndex] != entry.run) {
        // A new run is dialled within the redial delay.
        agent.links[entryIndex] = entry.run;
        at(randomTime(1'500),
           [this, agentIndex, entryIndex] { sendHeartbeat(agentIndex, entryIndex); });
        return;
    }
    ConfigOutbox out;
    entry.manager->peerVersion(m_now, incarnationOf(agentIndex), versionOf(agent.document), out);
    carryOut(entryIndex, out);
    const auto &current = entry.manager->current();
    if (current && current->document.version > versionOf(agent.document)) {
        agent.document = current->document;
        recordInForce(current->document);
    }
    at(BeatInterval, [this, agentIndex, entryIndex] { sendHeartbeat(agentIndex, entryIndex); });
}

void ConfigSite::runOperator()
{
    if (m_quiet)
        return;
    const std::size_t index = m_random() % Entries;
    if (chance(10))
        m_tableDownUntil = m_now + randomTime(6'000);
    if (chance(8)) {
        ++m_restarts;
        startEntry(index);
    }
    Entry &entry = m_entries[index];
    ConfigChange next;
    if (!m_unfinished.empty() && chance(40)) {
        next = m_unfinished[m_random() % m_unfinished.size()];
    } else {
        const std::string id = "change-" + std::to_string(m_lastCall + 1);
        next = change(entry.manager->version().value(), id);
        m_unfinished.push_back(next);
    }
    ++m_tries[next.changeId];
    const CallId call(++m_lastCall);
    entry.changes.emplace(call, next);
    ConfigOutbox out;
    entry.manager->apply(m_now, call, next, Duration(5'000'000), out);
    carryOut(index, out);
    at(randomTime(400), [this] { runOperator(); });
}

void ConfigSite::ended(std::size_t index, const ApplyEnd &end)
{
    const ConfigChange done = m_entries[index].changes.at(end.call);
    if (const auto *applied = std::get_if<AppliedConfig>(&end.result)) {
        const auto [position, first] = m_applied.emplace(done.changeId, applied->version);
        if (!first && position->second != applied->version)
            fault(done.changeId + " was reported with two versions");
        std::erase_if(m_unfinished, [&](const auto &c) { return c.changeId == done.changeId; });
        return;
    }
    const auto &error = std::get<CallError>(end.result);
    if (error.message.find("nothing was written") != std::string::npos)
        m_notWritten.insert(done.changeId);
}

void ConfigSite::recordInForce(const ConfigDocument &document)
{
    const auto [position, first] = m_inForce.emplace(document.version, document);
    if (!first && position->second != document)
        fault("two documents with version " + std::to_string(document.version.value()));
}

void ConfigSite::checkEntry(Entry &entry)
{
    const ConfigVersion version = entry.manager->version();
    if (version < entry.highest)
        fault("the version of an entry fell");
    entry.highest = version;
    if (!entry.ready && entry.manager->ready(m_now)) {
        entry.ready = true;
        if (version < entry.floor)
            fault("an entry serves with an outdated document");
    }
}

void ConfigSite::checkFinalState()
{
    const auto row = parseConfigRow(m_row.value);
    const ConfigVersion last = row ? row->version : ConfigVersion();
    for (const Entry &entry : m_entries) {
        if (entry.manager->version() != last)
            fault("an entry did not take the last version");
    }
    for (const Agent &agent : m_agents) {
        if (versionOf(agent.document) != last)
            fault("an agent did not take the last version");
    }
    for (const auto &[changeId, version] : m_applied) {
        const auto position = m_inForce.find(version);
        if (position == m_inForce.end() || position->second.changeId != changeId)
            fault(changeId + " was reported as applied but was not in force");
    }
    std::set<std::string> seen;
    for (const auto &[version, document] : m_inForce) {
        if (!seen.insert(document.changeId).second)
            fault(document.changeId + " took effect twice");
        // Another try of the same change may have been written.
        if (m_notWritten.contains(document.changeId) && m_tries.at(document.changeId) == 1)
            fault(document.changeId + " was reported as not written but was in force");
    }
}

} // namespace Bluebellquay
