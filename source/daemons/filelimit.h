// Open files that a daemon may have.
#pragma once

namespace Bluebellquay {

// Raises the soft limit to the hard one: each call in progress and each link holds a descriptor,
// and the usual soft limit is far below max_calls.
void raiseFileLimit();

} // namespace Bluebellquay
