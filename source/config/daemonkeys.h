// The keys of the daemons' settings.
#pragma once

#include "config/configreader.h"
#include "config/daemonsettings.h"

#include <vector>

namespace Bluebellquay {

std::vector<ConfigKey<ProcessSettings>> processKeys();
// Without the keys of ProcessSettings.
std::vector<ConfigKey<EntrySettings>> entryKeys();
std::vector<ConfigKey<AgentSettings>> agentKeys();

} // namespace Bluebellquay
