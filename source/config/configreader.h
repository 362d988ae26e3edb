// Reads the tables of a TOML file by a declarative list of keys. Each key is described once; the
// description serves the reading, the findings and the reference page (configreference.h).
#pragma once

#include "config/finding.h"

#include <toml++/toml.h>

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace Bluebellquay {

// What the reference page says about a key.
struct KeyDescription
{
    std::string name;
    // For example "integer"; with the range it completes "must be …".
    std::string type;
    std::string unit;
    std::string range;
    // Empty if the key must be given.
    std::string defaultValue;
    std::string effect;
};

// "integer (ms) from 1 to 60000"
std::string expectation(const KeyDescription &description);

class ConfigReader;

// Location of a value in the file, used to report findings about it.
class ConfigPlace
{
public:
    ConfigPlace(ConfigReader &reader, std::string key)
        : m_reader(reader)
        , m_key(std::move(key))
    { }

    // Place of a key in the table at this place.
    ConfigPlace child(std::string_view name) const;
    void report(const toml::node &node, std::string message, std::string remedy) const;
    // For a finding about a key that its table, which is at another place, does not have. It has
    // the line of the table, and none if that is the root.
    void reportMissing(const ConfigPlace &parent, const toml::table &table, std::string message,
                       std::string remedy) const;
    ConfigReader &reader() const { return m_reader; }
    const std::string &key() const { return m_key; }

private:
    ConfigReader &m_reader;
    // Dotted; empty for the root table.
    std::string m_key;
};

// Reads and documents the values of one type. read() returns nothing after it has reported why.
template <typename Type>
concept ConfigValueType = requires(const Type type, const toml::node &node,
                                   const ConfigPlace &place, const typename Type::Value &value)
{
    {
        type.read(node, place)
        } -> std::same_as<std::optional<typename Type::Value>>;
    {
        type.describe()
        } -> std::same_as<KeyDescription>;
    {
        type.toText(value)
        } -> std::convertible_to<std::string>;
};

enum class Presence { Required, Optional };

// A key of a table that is read into a Target.
template <typename Target>
struct ConfigKey
{
    KeyDescription description;
    Presence presence = Presence::Optional;
    std::function<void(const toml::node &, const ConfigPlace &, Target &)> read;
};

// The member is a pointer to a member or a function that returns a reference to it. The default of
// an optional key is what a newly made Target holds.
template <typename Target, ConfigValueType Type, typename Member>
ConfigKey<Target> configKey(const std::string &name, Type type, Member member, Presence presence,
                            const std::string &effect)
{
    ConfigKey<Target> key;
    key.description = type.describe();
    key.description.name = name;
    key.description.effect = effect;
    key.presence = presence;
    if (presence == Presence::Optional) {
        Target defaults{};
        key.description.defaultValue = type.toText(std::invoke(member, defaults));
    }
    key.read = [type, member](const toml::node &node, const ConfigPlace &place, Target &target) {
        if (std::optional<typename Type::Value> value = type.read(node, place))
            std::invoke(member, target) = std::move(*value);
    };
    return key;
}

// Converts the keys of a part into keys of the struct that holds the part as a member.
template <typename Whole, typename Part>
std::vector<ConfigKey<Whole>> nestKeys(const std::vector<ConfigKey<Part>> &keys, Part Whole::*part)
{
    std::vector<ConfigKey<Whole>> lifted;
    lifted.reserve(keys.size());
    for (const ConfigKey<Part> &key : keys)
        lifted.push_back(
            {key.description, key.presence,
             [read = key.read, part](const toml::node &node, const ConfigPlace &place,
                                     Whole &whole) { read(node, place, whole.*part); }});
    return lifted;
}

// Collects the findings of one file.
class ConfigReader
{
public:
    explicit ConfigReader(std::string file)
        : m_file(std::move(file))
    { }

    // Returns nothing after a syntax error, which is then a finding.
    std::optional<toml::table> parse(std::string_view text);

    void report(Finding finding);
    bool hasFindings() const { return !m_findings.empty(); }
    // In the order of the lines.
    Findings takeFindings();

    // Reports each unknown, missing or invalid key; other keys are read nevertheless.
    template <typename Target>
    void readTable(const toml::table &table, const ConfigPlace &place,
                   const std::vector<ConfigKey<Target>> &keys, Target &target)
    {
        std::vector<std::string> known;
        for (const ConfigKey<Target> &key : keys) {
            known.push_back(key.description.name);
            const toml::node *node = table.get(key.description.name);
            if (node != nullptr)
                key.read(*node, place.child(key.description.name), target);
            else if (key.presence == Presence::Required)
                place.child(key.description.name)
                    .reportMissing(place, table, "is missing",
                                   "add this key: " + expectation(key.description));
        }
        reportUnknown(table, place, known);
    }

    const std::string &file() const { return m_file; }

private:
    void reportUnknown(const toml::table &table, const ConfigPlace &place,
                       const std::vector<std::string> &known);

    std::string m_file;
    Findings m_findings;
};

} // namespace Bluebellquay
