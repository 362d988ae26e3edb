// Types of the values in settings and rules; each models ConfigValueType.
#pragma once

#include "base/coretime.h"
#include "config/configreader.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

// Reports a value of the wrong type or out of range.
void reportUnexpected(const toml::node &node, const ConfigPlace &place,
                      const KeyDescription &description);

// Whole number within the limits; nothing after a finding.
std::optional<std::int64_t> readInteger(const toml::node &node, const ConfigPlace &place,
                                        std::int64_t min, std::int64_t max,
                                        const KeyDescription &description);

template <typename Number>
struct IntegerValue
{
    using Value = Number;
    Number min = 0;
    Number max = std::numeric_limits<Number>::max();
    std::string unit{};

    KeyDescription describe() const
    {
        return {"", "integer", unit, std::to_string(min) + " to " + std::to_string(max), "", ""};
    }
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const
    {
        if (const auto number = readInteger(node, place, min, max, describe()))
            return static_cast<Number>(*number);
        return std::nullopt;
    }
    std::string toText(Number value) const { return std::to_string(value); }
};

// Time in whole milliseconds; the key's name ends with _ms.
struct MillisecondsValue
{
    using Value = Duration;
    std::int64_t min;
    std::int64_t max;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(Duration value) const;
};

// Share from 0 to 1; an integer 0 or 1 is accepted, too.
struct ShareValue
{
    using Value = double;
    bool allowZero = true;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(double value) const;
};

struct BooleanValue
{
    using Value = bool;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(bool value) const { return value ? "true" : "false"; }
};

constexpr std::size_t MaxNameLength = 64;

// Letters, digits, '_', '-' and '.'; 1 to 64 characters. Such names are safe in logs, metric labels
// and table keys.
bool isName(std::string_view text);

struct NameValue
{
    using Value = std::string;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(const std::string &value) const { return value; }
};

// Position in the list of names of a value that is one of them.
std::optional<std::size_t> readChoice(const toml::node &node, const ConfigPlace &place,
                                      const std::vector<std::string> &names);

template <typename Enum>
struct ChoiceValue
{
    using Value = Enum;
    std::vector<std::pair<Enum, std::string>> choices;

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto &[value, name] : choices)
            names.push_back(name);
        return names;
    }
    KeyDescription describe() const
    {
        std::string range;
        for (const std::string &name : names())
            range += (range.empty() ? "" : ", ") + name;
        return {"", "string", "", std::move(range), "", ""};
    }
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const
    {
        const std::optional<std::size_t> position = readChoice(node, place, names());
        return position ? std::optional(choices[*position].first) : std::nullopt;
    }
    std::string toText(Enum value) const
    {
        for (const auto &[choice, name] : choices)
            if (choice == value)
                return name;
        return {};
    }
};

// Address on which a process listens. Port 0 lets the kernel choose.
struct ListenAddress
{
    using Value = boost::asio::ip::tcp::endpoint;
    enum class Scope {
        Any,       // 0.0.0.0 and [::] are allowed
        Reachable, // the address is also told to peers
        Loopback,
    };
    Scope scope = Scope::Any;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(const Value &value) const;
};

// Address on which another process listens.
struct RemoteAddress
{
    using Value = std::string;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(const std::string &value) const { return value; }
};

// Address at which peers are told to reach this process.
struct AdvertisedAddress : RemoteAddress
{
    std::string toText(const std::string &) const { return "peer_listen"; }
};

// Distinct addresses of other processes.
struct RemoteAddressList
{
    using Value = std::vector<std::string>;
    static constexpr std::size_t MaxAddresses = 256;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(const Value &) const { return "[]"; }
};

// Path of a secret file; the value is the file's content.
struct SecretFileValue
{
    using Value = std::string;

    KeyDescription describe() const;
    std::optional<Value> read(const toml::node &node, const ConfigPlace &place) const;
    std::string toText(const std::string &) const { return {}; }
};

} // namespace Bluebellquay
