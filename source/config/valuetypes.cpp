#include "config/valuetypes.h"

#include "config/nearestname.h"
#include "config/networkaddress.h"
#include "config/secretfile.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <string_view>

namespace Bluebellquay {

namespace {

std::string_view typeName(const toml::node &node)
{
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a string";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a floating-point number";
    case toml::node_type::boolean:
        return "a boolean";
    default:
        return "a date or time";
    }
}

bool isAsciiLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

std::optional<std::string> readText(const toml::node &node, const ConfigPlace &place,
                                    const KeyDescription &description)
{
    auto text = node.value_exact<std::string>();
    if (!text)
        reportUnexpected(node, place, description);
    return text;
}

bool isRemoteAddress(std::string_view text)
{
    const auto endpoint = parseEndpoint(text);
    return endpoint && endpoint->port() != 0 && !endpoint->address().is_unspecified();
}

} // namespace

void reportUnexpected(const toml::node &node, const ConfigPlace &place,
                      const KeyDescription &description)
{
    const bool wrongType = !typeName(node).ends_with(description.type);
    place.report(node,
                 wrongType ? "has the wrong type: " + std::string(typeName(node))
                           : std::string("is not an allowed value"),
                 "use: " + expectation(description));
}

std::optional<std::int64_t> readInteger(const toml::node &node, const ConfigPlace &place,
                                        std::int64_t min, std::int64_t max,
                                        const KeyDescription &description)
{
    const auto number = node.value_exact<std::int64_t>();
    if (number && *number >= min && *number <= max)
        return number;
    if (number)
        place.report(node, "is out of range: " + std::to_string(*number),
                     "use: " + expectation(description));
    else
        reportUnexpected(node, place, description);
    return std::nullopt;
}

KeyDescription MillisecondsValue::describe() const
{
    return {"", "integer", "ms", std::to_string(min) + " to " + std::to_string(max), "", ""};
}

std::optional<Duration> MillisecondsValue::read(const toml::node &node,
                                                const ConfigPlace &place) const
{
    if (const auto number = readInteger(node, place, min, max, describe()))
        return std::chrono::milliseconds(*number);
    return std::nullopt;
}

std::string MillisecondsValue::toText(Duration value) const
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

KeyDescription ShareValue::describe() const
{
    return {"", "number", "", allowZero ? "0 to 1" : "above 0, at most 1", "", ""};
}

std::optional<double> ShareValue::read(const toml::node &node, const ConfigPlace &place) const
{
    std::optional<double> share;
    if (node.is_number())
        share = node.value<double>();
    // The comparison is false for a NaN.
    if (share && *share <= 1 && (*share > 0 || (allowZero && *share == 0)))
        return share;
    if (share)
        place.report(node, "is out of range", "use: " + expectation(describe()));
    else
        reportUnexpected(node, place, describe());
    return std::nullopt;
}

std::string ShareValue::toText(double value) const
{
    std::ostringstream text;
    text << value;
    return text.str();
}

KeyDescription BooleanValue::describe() const
{
    return {"", "boolean", "", "true, false", "", ""};
}

std::optional<bool> BooleanValue::read(const toml::node &node, const ConfigPlace &place) const
{
    const auto value = node.value_exact<bool>();
    if (!value)
        reportUnexpected(node, place, describe());
    return value;
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength
        && std::all_of(text.begin(), text.end(), [](char c) {
               return isAsciiLetterOrDigit(c) || c == '_' || c == '-' || c == '.';
           });
}

KeyDescription NameValue::describe() const
{
    return {"", "string", "", "1 to 64 letters, digits, `_`, `-`, `.`", "", ""};
}

std::optional<std::string> NameValue::read(const toml::node &node, const ConfigPlace &place) const
{
    std::optional<std::string> text = readText(node, place, describe());
    if (!text || isName(*text))
        return text;
    reportUnexpected(node, place, describe());
    return std::nullopt;
}

std::optional<std::size_t> readChoice(const toml::node &node, const ConfigPlace &place,
                                      const std::vector<std::string> &names)
{
    std::string range;
    for (const std::string &name : names)
        range += (range.empty() ? "" : ", ") + name;
    const KeyDescription description{"", "string", "", range, "", ""};
    const std::optional<std::string> text = readText(node, place, description);
    if (!text)
        return std::nullopt;
    const auto position = std::find(names.begin(), names.end(), *text);
    if (position != names.end())
        return static_cast<std::size_t>(position - names.begin());
    const std::optional<std::string> nearest = nearestName(*text, names);
    place.report(node, "is not an allowed value",
                 "use one of: " + range + (nearest ? "; did you mean " + *nearest + "?" : ""));
    return std::nullopt;
}

KeyDescription ListenAddress::describe() const
{
    switch (scope) {
    case Scope::Any:
        return {"", "string", "", "`IP:port`", "", ""};
    case Scope::Reachable:
        return {"", "string", "", "`IP:port`, not `0.0.0.0` or `[::]`", "", ""};
    case Scope::Loopback:
        return {"", "string", "", "`IP:port` on loopback", "", ""};
    }
    return {};
}

std::optional<boost::asio::ip::tcp::endpoint> ListenAddress::read(const toml::node &node,
                                                                  const ConfigPlace &place) const
{
    const std::optional<std::string> text = readText(node, place, describe());
    if (!text)
        return std::nullopt;
    auto endpoint = parseEndpoint(*text);
    const bool inScope = endpoint
        && (scope != Scope::Reachable || !endpoint->address().is_unspecified())
        && (scope != Scope::Loopback || endpoint->address().is_loopback());
    if (inScope)
        return endpoint;
    place.report(node, "is not a valid address here", "use: " + expectation(describe()));
    return std::nullopt;
}

std::string ListenAddress::toText(const boost::asio::ip::tcp::endpoint &value) const
{
    return toString(value);
}

KeyDescription RemoteAddress::describe() const
{
    return {"", "string", "", "`IP:port`, port 1 to 65535", "", ""};
}

std::optional<std::string> RemoteAddress::read(const toml::node &node,
                                               const ConfigPlace &place) const
{
    std::optional<std::string> text = readText(node, place, describe());
    if (!text || isRemoteAddress(*text))
        return text;
    place.report(node, "is not a valid address here", "use: " + expectation(describe()));
    return std::nullopt;
}

KeyDescription RemoteAddressList::describe() const
{
    return {"", "array", "", "up to 256 distinct strings `IP:port`, port 1 to 65535", "", ""};
}

std::optional<std::vector<std::string>> RemoteAddressList::read(const toml::node &node,
                                                                const ConfigPlace &place) const
{
    const toml::array *array = node.as_array();
    if (array == nullptr || array->size() > MaxAddresses) {
        reportUnexpected(node, place, describe());
        return std::nullopt;
    }
    std::vector<std::string> addresses;
    std::set<std::string> seen;
    std::size_t index = 0;
    for (const toml::node &element : *array) {
        const ConfigPlace elementPlace = place.child(std::to_string(index++));
        const std::optional<std::string> address = RemoteAddress().read(element, elementPlace);
        if (!address)
            continue;
        if (!seen.insert(*address).second)
            elementPlace.report(element, "is listed twice", "remove one of the two");
        addresses.push_back(*address);
    }
    return addresses;
}

KeyDescription SecretFileValue::describe() const
{
    return {"", "string", "", "path of a file of 1 to 4096 bytes that not all users may read",
            "", ""};
}

std::optional<std::string> SecretFileValue::read(const toml::node &node,
                                                 const ConfigPlace &place) const
{
    const std::optional<std::string> path = readText(node, place, describe());
    if (!path)
        return std::nullopt;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(secret, readSecretFile(*path));
            return std::optional<std::string>(std::move(secret));
        },
        [&](const SecretFileError &error) -> std::optional<std::string> {
            place.report(node, error.message, error.remedy);
            return std::nullopt;
        },
        [&]() -> std::optional<std::string> {
            place.report(node, "the secret file can't be read", "check the file");
            return std::nullopt;
        });
}

} // namespace Bluebellquay
