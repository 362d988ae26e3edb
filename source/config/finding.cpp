#include "config/finding.h"

namespace Bluebellquay {

std::string toString(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        if (!text.empty())
            text += '\n';
        text += finding.file;
        if (finding.line != 0)
            text += ':' + std::to_string(finding.line);
        if (!finding.place.empty())
            text += ": " + finding.place;
        text += ": " + finding.message;
        if (!finding.remedy.empty())
            text += "; " + finding.remedy;
    }
    return text;
}

} // namespace Bluebellquay
