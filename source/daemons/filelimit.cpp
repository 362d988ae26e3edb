#include "daemons/filelimit.h"

#include <sys/resource.h>

namespace Bluebellquay {

void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace Bluebellquay
