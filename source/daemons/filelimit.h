// Sets the limit on the open files of a daemon process.
#pragma once

namespace Bluebellquay {

// Raises the soft limit on open files to the hard limit, because each call in progress and each
// link to a peer holds a descriptor and the usual soft limit is far below the setting max_calls.
// Leaves the limit unchanged if the system refuses.
void raiseFileLimit();

} // namespace Bluebellquay
