#include "core/configrow.h"

#include <nlohmann/json.hpp>

namespace Bluebellquay {

namespace {

const nlohmann::json *stringMember(const nlohmann::json &object, const char *name)
{
    const auto member = object.find(name);
    return member == object.end() || !member->is_string() ? nullptr : &*member;
}

} // namespace

std::optional<ConfigDocument> parseConfigRow(std::string_view value)
{
    const auto row = nlohmann::json::parse(value, nullptr, false);
    if (!row.is_object())
        return std::nullopt;
    const auto version = row.find("version");
    const nlohmann::json *changeId = stringMember(row, "change_id");
    const nlohmann::json *text = stringMember(row, "text");
    if (version == row.end() || !version->is_number_unsigned() || changeId == nullptr
        || text == nullptr)
        return std::nullopt;
    ConfigDocument document;
    document.version = ConfigVersion(version->get<std::uint64_t>());
    document.changeId = changeId->get<std::string>();
    document.text = text->get<std::string>();
    if (document.version == ConfigVersion())
        return std::nullopt;
    return document;
}

std::string toConfigRow(const ConfigDocument &document)
{
    const nlohmann::json row{{"version", document.version.value()},
                             {"change_id", document.changeId},
                             {"text", document.text}};
    return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Bluebellquay
