// Message that says in which data centres no work may be started, because an operator has evacuated
// them. Each process that learns a newer list passes it on; core/evacuationrelay.h does that.
#pragma once

#include "base/strongid.h"

#include <string>
#include <vector>

namespace Bluebellquay {

// Version of the list of evacuated data centres, counted by the store; only rises. Zero means that
// no list is known yet.
using EvacuationVersion = StrongId<struct EvacuationVersionTag>;

struct EvacuationNotice
{
    EvacuationVersion version;
    // Each name once. The list replaces the one of any earlier version.
    std::vector<std::string> dataCentres;

    friend bool operator==(const EvacuationNotice &, const EvacuationNotice &) = default;
};

} // namespace Bluebellquay
