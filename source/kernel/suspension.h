// Time for which the machine has been suspended. The steady clock does not count this time, so
// code that compares two readings of it has to add the time suspended in between.
#pragma once

#include "base/coretime.h"

namespace Bluebellquay {

// Total time suspended since the machine started.
Duration suspendedTime();

} // namespace Bluebellquay
