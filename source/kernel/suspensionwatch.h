// Tells a process how long its machine was suspended since it last asked.
#pragma once

#include "kernel/suspension.h"

#include <utility>

namespace Bluebellquay {

class SuspensionWatch
{
public:
    // Since the last call, or since the watch was made.
    Duration sinceLastCall()
    {
        const Duration total = suspendedTime();
        return total - std::exchange(m_total, total);
    }

private:
    // Since the machine started, as of the last call.
    Duration m_total = suspendedTime();
};

} // namespace Bluebellquay
