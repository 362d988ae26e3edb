#include "config/configreference.h"

#include "config/daemonkeys.h"
#include "config/ruleskeys.h"

namespace Bluebellquay {

namespace {

template <typename Target>
ConfigSection sectionOf(std::string title, const std::vector<ConfigKey<Target>> &keys)
{
    ConfigSection section{std::move(title), {}};
    for (const ConfigKey<Target> &key : keys)
        section.keys.push_back(key.description);
    return section;
}

} // namespace

std::vector<ConfigSection> configReference()
{
    return {
        sectionOf("Both daemons", processKeys()),
        sectionOf("Entry", entryKeys()),
        sectionOf("Agent", agentKeys()),
        sectionOf("Rules document", rulesKeys()),
        sectionOf("Branch: `[branch.<branch>]`", branchKeys()),
        sectionOf("Kind of request: `[branch.<branch>.kind.<kind>]`", kindKeys()),
    };
}

std::string toMarkdown(const ConfigSection &section)
{
    std::string text =
        "| key | type | unit | range | default | effect |\n|---|---|---|---|---|---|\n";
    for (const KeyDescription &key : section.keys) {
        text += "| `" + key.name + "` | " + key.type + " | " + key.unit + " | " + key.range + " | "
            + (key.defaultValue.empty() ? "required" : "`" + key.defaultValue + "`") + " | "
            + key.effect + " |\n";
    }
    return text;
}

} // namespace Bluebellquay
