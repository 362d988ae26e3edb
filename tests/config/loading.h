// Loads configuration in tests: either the value or all findings.
#pragma once

#include "config/finding.h"
#include "config/rulesdocument.h"

#include <boost/leaf.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace Bluebellquay {

template <typename Value>
struct Loaded
{
    std::optional<Value> value;
    Findings findings;

    const Finding *findingAt(std::string_view place) const
    {
        const auto position =
            std::find_if(findings.begin(), findings.end(),
                         [&](const Finding &finding) { return finding.place == place; });
        return position == findings.end() ? nullptr : &*position;
    }
};

// The function returns a result; any error without findings leaves both members empty.
template <typename Load>
auto loadAll(Load load)
{
    using Value = std::decay_t<decltype(load().value())>;
    Loaded<Value> loaded;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(value, load());
            loaded.value.emplace(std::move(value));
            return {};
        },
        [&](const Findings &findings) { loaded.findings = findings; }, [] {});
    return loaded;
}

inline Loaded<RulesDocument> parseRules(const std::string &text)
{
    return loadAll([&] { return RulesDocument::parse(text, "rules.toml"); });
}

} // namespace Bluebellquay
