// The data centres that an operator has evacuated, as one process knows them. Performs no I/O: the
// lists come from the store or from peers, in any order.
#pragma once

#include "base/evacuationnotice.h"

#include <set>
#include <string>

namespace Bluebellquay {

class Evacuations
{
public:
    // Takes the list if it is newer than the present one. Returns whether it was taken.
    bool offer(const EvacuationNotice &notice);

    // False until the first list. A process that knows no list starts no work.
    bool known() const { return m_version != EvacuationVersion(); }
    // Whether work may be started in the data centre.
    bool mayStart(const std::string &dataCentre) const
    {
        return known() && !m_dataCentres.contains(dataCentre);
    }
    const std::set<std::string> &dataCentres() const { return m_dataCentres; }
    EvacuationVersion version() const { return m_version; }
    EvacuationNotice notice() const;

private:
    // Only rises, so that an old copy neither brings an evacuation back nor ends one.
    EvacuationVersion m_version;
    std::set<std::string> m_dataCentres;
};

} // namespace Bluebellquay
