// The keys of the rules document.
#pragma once

#include "config/configreader.h"
#include "config/ruleset.h"

#include <vector>

namespace Bluebellquay {

std::vector<ConfigKey<KindRule>> kindKeys();
std::vector<ConfigKey<BranchRule>> branchKeys();
std::vector<ConfigKey<RuleSet>> rulesKeys();

} // namespace Bluebellquay
