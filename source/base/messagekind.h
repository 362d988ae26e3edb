// Names of the message types, for logs and metric labels.
#pragma once

#include "base/messages.h"

#include <cstddef>
#include <string_view>
#include <variant>

namespace Bluebellquay {

constexpr std::size_t MessageKinds = std::variant_size_v<Message>;

// Snake-case name of the message type with this number; the number must be below MessageKinds.
std::string_view messageKindName(std::size_t kind);

} // namespace Bluebellquay
