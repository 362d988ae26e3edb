// Edits the list of evacuated data centres in the text of a rules document. All other text,
// comments included, stays as it is.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Returns the document with the data centre in the list, or without it. Nothing if the document is
// no TOML, or has a key of that name that is no list of strings.
std::optional<std::string> editEvacuation(std::string_view document, std::string_view dataCentre,
                                          bool evacuated);

} // namespace Bluebellquay
