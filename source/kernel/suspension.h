// Time for which the machine has been suspended. The steady clock leaves it out, so that whoever
// compares two readings of it has to add what passed unseen.
#pragma once

#include "base/coretime.h"

namespace Bluebellquay {

// Since the machine started.
Duration suspendedTime();

} // namespace Bluebellquay
