#include "config/settingsfile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr std::size_t MaxSettingsBytes = 256UL << 10;

} // namespace

std::optional<std::string> readSettingsFile(const std::string &path, ConfigReader &reader)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::string text;
    if (file) {
        text.resize(MaxSettingsBytes + 1);
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(file.gcount()));
    }
    if (!file.eof() && text.size() <= MaxSettingsBytes) {
        reader.report({path, 0, "",
                       std::string("can't be read: ") + std::strerror(errno != 0 ? errno : EIO),
                       "name a readable settings file"});
        return std::nullopt;
    }
    if (text.size() > MaxSettingsBytes) {
        reader.report({path, 0, "", "is longer than " + std::to_string(MaxSettingsBytes) + " bytes",
                       "name a settings file"});
        return std::nullopt;
    }
    return text;
}

void reportAt(const toml::table &table, ConfigReader &reader, const std::string &key,
              std::string message, std::string remedy)
{
    const ConfigPlace root(reader, "");
    const ConfigPlace place = root.child(key);
    if (const toml::node *node = table.get(key))
        place.report(*node, std::move(message), std::move(remedy));
    else
        place.reportMissing(root, table, std::move(message), std::move(remedy));
}

} // namespace Bluebellquay
