#include "core/evacuations.h"

namespace Bluebellquay {

bool Evacuations::offer(const EvacuationNotice &notice)
{
    if (notice.version <= m_version)
        return false;
    m_version = notice.version;
    m_dataCentres = {notice.dataCentres.begin(), notice.dataCentres.end()};
    return true;
}

EvacuationNotice Evacuations::notice() const
{
    return {m_version, {m_dataCentres.begin(), m_dataCentres.end()}};
}

} // namespace Bluebellquay
