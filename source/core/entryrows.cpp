#include "core/entryrows.h"

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

EntryRows::EntryRows(ProcessInfo self, Duration interval, TimePoint start)
    : m_self(std::move(self))
    , m_interval(interval)
    , m_next(start)
{ }

void EntryRows::advance(TimePoint now, EntryRowsOutbox &out)
{
    if (m_busy || now < m_next)
        return;
    m_busy = true;
    m_next = now + m_interval;
    out.list = true;
}

TimePoint EntryRows::nextWakeup() const
{
    return m_busy ? TimePoint::max() : m_next;
}

void EntryRows::listed(const std::optional<std::vector<TableRow>> &rows, EntryRowsOutbox &out)
{
    if (!rows) {
        m_busy = false;
        return;
    }
    std::map<std::string, SeenRow> seen;
    for (const TableRow &row : *rows) {
        const auto info = parseRow(row.value);
        const auto before = m_rows.find(row.key);
        const bool unchanged = before != m_rows.end() && before->second.version == row.version;
        if (info || row.key == ownKey())
            seen[row.key] = {row.version, unchanged ? before->second.unchangedReads + 1 : 0,
                             info.value_or(m_self)};
    }
    m_rows = std::move(seen);
    const auto own = m_rows.find(ownKey());
    out.write = TablePut{TableOperation(), ownKey(), own == m_rows.end() ? 0 : own->second.version,
                         toRow(m_self)};
}

void EntryRows::written()
{
    // A failed write is made good by the next one.
    m_busy = false;
}

std::vector<ProcessInfo> EntryRows::entries() const
{
    std::vector<ProcessInfo> entries;
    for (const auto &[key, row] : m_rows) {
        if (key != ownKey() && row.unchangedReads < StaleReads)
            entries.push_back(row.info);
    }
    return entries;
}

} // namespace Bluebellquay
