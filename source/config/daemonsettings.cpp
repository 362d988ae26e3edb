#include "config/daemonsettings.h"

#include "config/daemonkeys.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace Bluebellquay {

namespace {

constexpr std::size_t MaxSettingsBytes = 256UL << 10;

using Endpoint = boost::asio::ip::tcp::endpoint;
using NamedListener = std::pair<std::string, Endpoint>;

std::optional<std::string> readFile(const std::string &path, ConfigReader &reader)
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

// A heartbeat that is late once must not count as silence.
void checkSilence(const toml::table &table, ConfigReader &reader, const ProcessSettings &settings)
{
    if (settings.silenceTimeout < 2 * settings.heartbeatInterval)
        reportAt(table, reader, "silence_timeout_ms", "is less than twice heartbeat_interval_ms",
                 "raise silence_timeout_ms or lower heartbeat_interval_ms");
}

// The kernel would report the second of two equal listeners only after the first is up.
void checkListeners(const toml::table &table, ConfigReader &reader,
                    const std::vector<NamedListener> &listeners)
{
    for (std::size_t i = 0; i < listeners.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (listeners[i].second.port() != 0 && listeners[i].second == listeners[j].second)
                reportAt(table, reader, listeners[i].first,
                         "is the same address as " + listeners[j].first,
                         "give each listener a port of its own");
        }
    }
}

// The checks run only on settings that are complete, so that they report no consequences of other
// findings.
template <typename Settings, typename Check>
boost::leaf::result<Settings> loadSettings(const std::string &path,
                                           std::vector<ConfigKey<Settings>> keys, Check check)
{
    const auto processPart = liftKeys(processKeys(), &Settings::process);
    keys.insert(keys.begin(), processPart.begin(), processPart.end());
    ConfigReader reader(path);
    Settings settings;
    if (const std::optional<std::string> text = readFile(path, reader)) {
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

} // namespace

boost::leaf::result<EntrySettings> EntrySettings::load(const std::string &path)
{
    const auto check = [](const toml::table &table, ConfigReader &reader,
                          const EntrySettings &settings) {
        checkSilence(table, reader, settings.process);
        checkListeners(table, reader,
                       {{"peer_listen", settings.process.peerListen},
                        {"admin_listen", settings.process.adminListen},
                        {"caller_listen", settings.callerListen},
                        {"operator_listen", settings.operatorListen}});
    };
    return loadSettings<EntrySettings>(path, entryKeys(), check);
}

boost::leaf::result<AgentSettings> AgentSettings::load(const std::string &path)
{
    const auto check = [](const toml::table &table, ConfigReader &reader,
                          const AgentSettings &settings) {
        checkSilence(table, reader, settings.process);
        checkListeners(table, reader,
                       {{"peer_listen", settings.process.peerListen},
                        {"admin_listen", settings.process.adminListen},
                        {"upstream_listen", settings.upstreamListen}});
    };
    return loadSettings<AgentSettings>(path, agentKeys(), check);
}

} // namespace Bluebellquay
