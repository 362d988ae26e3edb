#include "cli/evacuationedit.h"

#include <toml++/toml.h>

#include <set>

namespace Bluebellquay {

namespace {

constexpr std::string_view EvacuatedKey = "evacuated";

std::optional<std::set<std::string>> readNames(const toml::node &node)
{
    const toml::array *list = node.as_array();
    if (list == nullptr)
        return std::nullopt;
    std::set<std::string> names;
    for (const toml::node &element : *list) {
        const auto name = element.value_exact<std::string>();
        if (!name)
            return std::nullopt;
        names.insert(*name);
    }
    return names;
}

std::string listText(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "\"" : ", \"") + name + '"';
    return "[" + text + "]";
}

// Lines and columns count from one, columns in characters.
std::size_t offsetOf(std::string_view text, const toml::source_position &position)
{
    constexpr unsigned char ContinuationMask = 0xc0;
    constexpr unsigned char Continuation = 0x80;
    std::size_t offset = 0;
    for (toml::source_index line = 1; line < position.line; ++line)
        offset = text.find('\n', offset) + 1;
    for (toml::source_index column = 1; column < position.column; ++column) {
        ++offset;
        while (offset < text.size()
               && (static_cast<unsigned char>(text[offset]) & ContinuationMask) == Continuation)
            ++offset;
    }
    return offset;
}

} // namespace

std::optional<std::string> editEvacuation(std::string_view document, std::string_view dataCentre,
                                          bool evacuated)
{
    toml::table table;
    try {
        table = toml::parse(document);
    } catch (const toml::parse_error &) {
        return std::nullopt;
    }
    const toml::node *node = table.get(EvacuatedKey);
    auto names = node != nullptr ? readNames(*node) : std::set<std::string>();
    if (!names)
        return std::nullopt;
    if (evacuated)
        names->emplace(dataCentre);
    else
        names->erase(std::string(dataCentre));
    std::string text(document);
    if (node == nullptr)
        return std::string(EvacuatedKey) + " = " + listText(*names) + '\n' + text;
    const std::size_t begin = offsetOf(document, node->source().begin);
    const std::size_t end = offsetOf(document, node->source().end);
    return text.replace(begin, end - begin, listText(*names));
}

} // namespace Bluebellquay
