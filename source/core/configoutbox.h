// Effects that ConfigManager requests: table operations, messages to peers and results of changes.
#pragma once

#include "config/finding.h"
#include "core/entryoutbox.h"
#include "core/outbox.h"
#include "core/tableoperation.h"

#include <variant>
#include <vector>

namespace Bluebellquay {

// End of a change without an error.
struct AppliedConfig
{
    // Zero if the document has findings; nothing was written then.
    ConfigVersion version;
    Findings findings;
};

struct ApplyEnd
{
    CallId call;
    std::variant<AppliedConfig, CallError> result;
};

struct ConfigOutbox
{
    std::vector<Envelope> messages;
    std::vector<TableGet> reads;
    std::vector<TablePut> writes;
    std::vector<ApplyEnd> ends;
    // Another document is in force than before.
    bool changed = false;

    void clear() { *this = ConfigOutbox(); }
};

} // namespace Bluebellquay
