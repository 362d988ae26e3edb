// JSON form of the row that holds the rules document: {"version", "change_id", "text"}.
#pragma once

#include "base/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Returns nothing unless the value has all three members and a version above zero.
std::optional<ConfigDocument> parseConfigRow(std::string_view value);

std::string toConfigRow(const ConfigDocument &document);

} // namespace Bluebellquay
