// Suggestion for a misspelled name.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// The known name with the fewest edits, if at most a third of its length (two at least) differs.
std::optional<std::string> nearestName(std::string_view name,
                                       const std::vector<std::string> &known);

} // namespace Bluebellquay
