#include "config/configreader.h"

#include "config/nearestname.h"

#include <algorithm>
#include <sstream>

namespace Bluebellquay {

namespace {

// Keys come from the file: control characters must not reach a terminal or a log line.
std::string printable(std::string_view text)
{
    constexpr std::size_t MaxShown = 64;
    std::string shown(text.substr(0, MaxShown));
    std::replace_if(
        shown.begin(), shown.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }, '?');
    return shown;
}

} // namespace

std::string expectation(const KeyDescription &description)
{
    std::string text = description.type;
    if (!description.unit.empty())
        text += " (" + description.unit + ")";
    if (!description.range.empty())
        text += ", " + description.range;
    return text;
}

ConfigPlace ConfigPlace::child(std::string_view name) const
{
    const std::string shown = printable(name);
    return {m_reader, m_key.empty() ? shown : m_key + "." + shown};
}

void ConfigPlace::report(const toml::node &node, std::string message, std::string remedy) const
{
    m_reader.report(
        {m_reader.file(), node.source().begin.line, m_key, std::move(message), std::move(remedy)});
}

void ConfigPlace::reportMissing(const ConfigPlace &parent, const toml::table &table,
                                std::string message, std::string remedy) const
{
    const std::uint32_t line = parent.m_key.empty() ? 0 : table.source().begin.line;
    m_reader.report({m_reader.file(), line, m_key, std::move(message), std::move(remedy)});
}

std::optional<toml::table> ConfigReader::parse(std::string_view text)
{
    try {
        return toml::parse(text, m_file);
    } catch (const toml::parse_error &error) {
        report({m_file, error.source().begin.line, "", std::string(error.description()),
                "correct the TOML syntax of this line"});
        return std::nullopt;
    }
}

void ConfigReader::report(Finding finding)
{
    m_findings.push_back(std::move(finding));
}

Findings ConfigReader::takeFindings()
{
    std::stable_sort(m_findings.begin(), m_findings.end(),
                     [](const Finding &a, const Finding &b) { return a.line < b.line; });
    return std::exchange(m_findings, {});
}

void ConfigReader::reportUnknown(const toml::table &table, const ConfigPlace &place,
                                 const std::vector<std::string> &known)
{
    for (const auto &[key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) != known.end())
            continue;
        const std::optional<std::string> nearest = nearestName(key.str(), known);
        report({m_file, key.source().begin.line, place.child(key.str()).key(), "unknown key",
                nearest ? "did you mean " + *nearest + "?" : "remove it"});
    }
}

} // namespace Bluebellquay
