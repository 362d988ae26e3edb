// Registers this entry in the platform's table and finds the others there: each entry rewrites a
// row of its own regularly, so that agents learn of entries that their settings don't name. No I/O
// and no clock.
#pragma once

#include "base/messages.h"
#include "core/tableoperation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

struct EntryRegistryOutbox
{
    // Read all rows with EntryRegistry::Prefix.
    bool list = false;
    std::optional<TablePut> write;
};

class EntryRegistry
{
public:
    static constexpr std::string_view Prefix = "directory/entry/";

    EntryRegistry(ProcessInfo self, Duration interval, TimePoint start);

    void advance(TimePoint now, EntryRegistryOutbox &out);
    TimePoint nextWakeup() const;
    // Results of the requested operations; no rows if the table has not answered.
    void listed(const std::optional<std::vector<TableRow>> &rows, EntryRegistryOutbox &out);
    void written();

    // Other entries whose rows still change. The list is kept while the table does not answer.
    std::vector<ProcessInfo> entries() const;

private:
    // The entry of a row that is unchanged in this many consecutive reads counts as stopped.
    static constexpr std::uint32_t StaleAfterReads = 4;

    struct KnownRow
    {
        std::uint64_t version = 0;
        std::uint32_t unchangedReads = 0;
        ProcessInfo info;
    };

    std::string ownKey() const { return std::string(Prefix) + m_self.name; }

    ProcessInfo m_self;
    Duration m_interval;
    TimePoint m_nextUpdate;
    bool m_updating = false;
    std::map<std::string, KnownRow> m_rows;
};

} // namespace Bluebellquay
