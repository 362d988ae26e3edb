// The reference of all keys, from the descriptions that the reading uses. docs/CONFIGURATION.md
// holds the tables; a test compares them.
#pragma once

#include "config/configreader.h"

#include <string>
#include <vector>

namespace Bluebellquay {

// Keys of one table.
struct ConfigSection
{
    std::string title;
    std::vector<KeyDescription> keys;
};

std::vector<ConfigSection> configReference();

// Markdown table with one row for each key.
std::string toMarkdown(const ConfigSection &section);

} // namespace Bluebellquay
