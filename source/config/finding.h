// Findings of a check: collected with their place and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bluebellquay {

struct Finding
{
    std::string file;
    // From one; zero if the finding has no line, for example a missing key.
    std::uint32_t line = 0;
    // Dotted key, for example "branch.hinokuni.kind.checkout.urgency".
    std::string place;
    std::string message;
    // What to do about it.
    std::string remedy;
};

using Findings = std::vector<Finding>;

// "file:line: place: message; remedy", one line for each finding.
std::string toString(const Findings &findings);

} // namespace Bluebellquay
