#include "core/entryregistry.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Bluebellquay {

namespace {

std::string toRow(const ProcessInfo &info)
{
    const nlohmann::json row{{"incarnation", toString(info.incarnation)},
                             {"name", info.name},
                             {"data_centre", info.dataCentre},
                             {"region", info.region},
                             {"address", info.address}};
    return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ProcessInfo> parseRow(const std::string &value)
{
    const auto row = nlohmann::json::parse(value, nullptr, false);
    if (!row.is_object())
        return std::nullopt;
    for (const char *name : {"incarnation", "name", "data_centre", "region", "address"}) {
        if (!row.contains(name) || !row[name].is_string())
            return std::nullopt;
    }
    const auto incarnation = parseIncarnation(row["incarnation"].get<std::string>());
    if (!incarnation)
        return std::nullopt;
    ProcessInfo info;
    info.incarnation = *incarnation;
    info.role = ProcessRole::Entry;
    info.name = row["name"].get<std::string>();
    info.dataCentre = row["data_centre"].get<std::string>();
    info.region = row["region"].get<std::string>();
    info.address = row["address"].get<std::string>();
    info.state = AgentState::Serving;
    return info;
}

} // namespace

EntryRegistry::EntryRegistry(ProcessInfo self, Duration interval, TimePoint start)
    : m_self(std::move(self))
    , m_interval(interval)
    , m_nextUpdate(start)
{ }

void EntryRegistry::advance(TimePoint now, EntryRegistryOutbox &out)
{
    if (m_updating || now < m_nextUpdate)
        return;
    m_updating = true;
    m_nextUpdate = now + m_interval;
    out.list = true;
}

TimePoint EntryRegistry::nextWakeup() const
{
    return m_updating ? TimePoint::max() : m_nextUpdate;
}

void EntryRegistry::listed(const std::optional<std::vector<TableRow>> &rows,
                           EntryRegistryOutbox &out)
{
    if (!rows) {
        m_updating = false;
        return;
    }
    std::map<std::string, KnownRow> known;
    for (const TableRow &row : *rows) {
        const auto info = parseRow(row.value);
        const auto before = m_rows.find(row.key);
        const bool unchanged = before != m_rows.end() && before->second.version == row.version;
        if (info || row.key == ownKey())
            known[row.key] = {row.version, unchanged ? before->second.unchangedReads + 1 : 0,
                              info.value_or(m_self)};
    }
    m_rows = std::move(known);
    const auto own = m_rows.find(ownKey());
    out.write = TablePut{TableOperation(), ownKey(), own == m_rows.end() ? 0 : own->second.version,
                         toRow(m_self)};
}

void EntryRegistry::written()
{
    // A failed write needs no handling: the next update writes the row again.
    m_updating = false;
}

std::vector<ProcessInfo> EntryRegistry::entries() const
{
    std::vector<ProcessInfo> entries;
    for (const auto &[key, row] : m_rows) {
        if (key != ownKey() && row.unchangedReads < StaleAfterReads)
            entries.push_back(row.info);
    }
    return entries;
}

} // namespace Bluebellquay
