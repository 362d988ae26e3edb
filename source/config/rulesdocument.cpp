#include "config/rulesdocument.h"

#include "config/ruleskeys.h"

#include <utility>

namespace Bluebellquay {

namespace {

// The document travels in one frame between peers, which is limited to 8 MiB.
constexpr std::size_t MaxDocumentBytes = 1UL << 20;

} // namespace

boost::leaf::result<RulesDocument> RulesDocument::parse(std::string text, std::string_view fileName)
{
    ConfigReader reader{std::string(fileName)};
    auto rules = std::make_shared<RuleSet>();
    if (text.size() > MaxDocumentBytes) {
        reader.report({std::string(fileName), 0, "",
                       "is longer than " + std::to_string(MaxDocumentBytes) + " bytes",
                       "shorten the document"});
    } else if (const std::optional<toml::table> table = reader.parse(text)) {
        reader.readTable(*table, ConfigPlace(reader, ""), rulesKeys(), *rules);
    }
    if (reader.hasFindings())
        return boost::leaf::new_error(reader.takeFindings());
    return RulesDocument(std::move(text), std::move(rules));
}

} // namespace Bluebellquay
