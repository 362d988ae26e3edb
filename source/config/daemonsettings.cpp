#include "config/daemonsettings.h"

#include "config/daemonkeys.h"
#include "config/settingsfile.h"

#include <utility>

namespace Bluebellquay {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;
using NamedListener = std::pair<std::string, Endpoint>;

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

template <typename Settings, typename Check>
boost::leaf::result<Settings> loadDaemonSettings(const std::string &path,
                                                 std::vector<ConfigKey<Settings>> keys, Check check)
{
    const auto processPart = nestKeys(processKeys(), &Settings::process);
    keys.insert(keys.begin(), processPart.begin(), processPart.end());
    return loadSettingsFile<Settings>(path, keys, check);
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
    return loadDaemonSettings<EntrySettings>(path, entryKeys(), check);
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
    return loadDaemonSettings<AgentSettings>(path, agentKeys(), check);
}

} // namespace Bluebellquay
