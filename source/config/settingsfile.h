// Reads a settings file by a list of keys and checks it as a whole.
#pragma once

#include "config/configreader.h"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Bluebellquay {

// Reports a finding and returns nothing if the file can't be read or is too long.
std::optional<std::string> readSettingsFile(const std::string &path, ConfigReader &reader);

// Reports a finding about a key of the root table, whether it is given or not.
void reportAt(const toml::table &table, ConfigReader &reader, const std::string &key,
              std::string message, std::string remedy);

// Fails with Findings. The check runs only on settings that are complete, so that it reports no
// consequences of other findings.
template <typename Settings, typename Check>
boost::leaf::result<Settings>
loadSettingsFile(const std::string &path, const std::vector<ConfigKey<Settings>> &keys, Check check)
{
    ConfigReader reader(path);
    Settings settings;
    if (const std::optional<std::string> text = readSettingsFile(path, reader)) {
        if (const std::optional<toml::table> table = reader.parse(*text)) {
            reader.readTable(*table, ConfigPlace(reader, ""), keys, settings);
            if (!reader.hasFindings())
                check(*table, reader, settings);
        }
    }
    if (reader.hasFindings())
        return boost::leaf::new_error(reader.takeFindings());
    return settings;
}

} // namespace Bluebellquay
