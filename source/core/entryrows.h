// The directory of entries in the platform's table: one row for each entry, rewritten regularly, so
// that agents learn of entries that their settings don't name. No I/O and no clock.
#pragma once

#include "base/messages.h"
#include "core/tableoperation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

struct EntryRowsOutbox
{
    // Read all rows with EntryRows::Prefix.
    bool list = false;
    std::optional<TablePut> write;
};

class EntryRows
{
public:
    static constexpr std::string_view Prefix = "directory/entry/";

    EntryRows(ProcessInfo self, Duration interval, TimePoint start);

    void advance(TimePoint now, EntryRowsOutbox &out);
    TimePoint nextWakeup() const;
    // Results; nothing if there was no answer.
    void listed(const std::optional<std::vector<TableRow>> &rows, EntryRowsOutbox &out);
    void written();

    // Other entries whose rows still change. Kept while the table is down.
    std::vector<ProcessInfo> entries() const;

private:
    // A row that is the same in this many reads in a row has lost its writer.
    static constexpr std::uint32_t StaleReads = 4;

    struct SeenRow
    {
        std::uint64_t version = 0;
        std::uint32_t unchangedReads = 0;
        ProcessInfo info;
    };

    std::string ownKey() const { return std::string(Prefix) + m_self.name; }

    ProcessInfo m_self;
    Duration m_interval;
    TimePoint m_next;
    bool m_busy = false;
    std::map<std::string, SeenRow> m_rows;
};

} // namespace Bluebellquay
