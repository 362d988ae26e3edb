#include "config/daemonkeys.h"

#include "config/valuetypes.h"

namespace Bluebellquay {

std::vector<ConfigKey<ProcessSettings>> processKeys()
{
    using Settings = ProcessSettings;
    using enum Presence;
    const ChoiceValue<LogLevel> logLevels{{{LogLevel::Debug, "debug"},
                                           {LogLevel::Info, "info"},
                                           {LogLevel::Warning, "warning"},
                                           {LogLevel::Error, "error"}}};
    return {
        configKey<Settings>(
            "name", NameValue(), &Settings::name, Required,
            "Name of the process in logs, the directory and `drain`; unique in the system."),
        configKey<Settings>("data_centre", NameValue(), &Settings::dataCentre, Required,
                            "Data centre of the process; nearer workers are preferred."),
        configKey<Settings>("region", NameValue(), &Settings::region, Required,
                            "Region of the data centre."),
        configKey<Settings>("peer_listen", ListenAddress{ListenAddress::Scope::Reachable},
                            &Settings::peerListen, Required,
                            "Where peers reach this process; also told to them in the directory."),
        configKey<Settings>(
            "peer_advertise", AdvertisedAddress(), &Settings::peerAdvertise, Optional,
            "Address that peers are told to dial, for a process that is reached through address "
            "translation or a relay."),
        configKey<Settings>(
            "peer_secret_file", SecretFileValue(), &Settings::peerSecret, Required,
            "Secret that all processes of the system share; a link without it is rejected."),
        configKey<Settings>("admin_listen", ListenAddress(), &Settings::adminListen, Required,
                            "Health, readiness and metrics over HTTP, without a secret."),
        configKey<Settings>("log_level", logLevels, &Settings::logLevel, Optional,
                            "Events below this level are not logged."),
        configKey<Settings>("heartbeat_interval_ms", MillisecondsValue{50, 10'000},
                            &Settings::heartbeatInterval, Optional,
                            "Time between two heartbeats on a link."),
        configKey<Settings>(
            "silence_timeout_ms", MillisecondsValue{100, 60'000}, &Settings::silenceTimeout,
            Optional,
            "A link that is silent for this long is abandoned and redialled; at least twice "
            "`heartbeat_interval_ms`."),
        configKey<Settings>(
            "stop_timeout_ms", MillisecondsValue{100, 3'600'000}, &Settings::stopTimeout, Optional,
            "Time that a planned stop may take; what is unfinished then is abandoned."),
    };
}

std::vector<ConfigKey<EntrySettings>> entryKeys()
{
    using Settings = EntrySettings;
    using enum Presence;
    return {
        configKey<Settings>("caller_listen", ListenAddress(), &Settings::callerListen, Required,
                            "Listener for the calls of `bluebellquay.v1.Dispatcher`."),
        configKey<Settings>("operator_listen", ListenAddress(), &Settings::operatorListen, Required,
                            "Listener for the calls of `bluebellquay.v1.Operator`."),
        configKey<Settings>("operator_secret_file", SecretFileValue(), &Settings::operatorSecret,
                            Required, "Secret that each operator call must carry as bearer token."),
        configKey<Settings>("table_address", RemoteAddress(), &Settings::tableAddress, Required,
                            "The platform's table service."),
        configKey<Settings>("table_timeout_ms", MillisecondsValue{10, 60'000},
                            &Settings::tableTimeout, Optional,
                            "Time after which a call to the table counts as lost."),
        configKey<Settings>(
            "config_poll_interval_ms", MillisecondsValue{50, 60'000}, &Settings::configPollInterval,
            Optional,
            "Time between two reads of the rules document; bounds how long a change applied "
            "elsewhere takes to arrive."),
        configKey<Settings>(
            "drain_grace_ms", MillisecondsValue{0, 600'000}, &Settings::drainGrace, Optional,
            "Time between SIGTERM, when readiness fails, and the end of accepting calls; "
            "longer than the balancer needs to notice."),
        configKey<Settings>(
            "max_calls", IntegerValue<std::uint32_t>{1, 1'000'000, "calls"}, &Settings::maxCalls,
            Optional, "Calls in progress; further ones are answered with resource_exhausted."),
    };
}

std::vector<ConfigKey<AgentSettings>> agentKeys()
{
    using Settings = AgentSettings;
    using enum Presence;
    return {
        configKey<Settings>("upstream_listen", ListenAddress{ListenAddress::Scope::Loopback},
                            &Settings::upstreamListen, Required,
                            "Where the upstream beside this agent announces itself."),
        configKey<Settings>(
            "entries", RemoteAddressList(), &Settings::entries, Required,
            "Peer listeners of entries known in advance; further ones come from the "
            "directory. May be empty if entries learn this agent from other agents."),
        configKey<Settings>(
            "announce_timeout_ms", MillisecondsValue{100, 60'000}, &Settings::announceTimeout,
            Optional, "An upstream that has not announced itself for this long gets no new task."),
        configKey<Settings>("issue_period_ms", MillisecondsValue{100, 3'600'000},
                            &Settings::issuePeriod, Optional,
                            "Length of an issue period of submission ids."),
        configKey<Settings>(
            "accepted_periods", IntegerValue<std::uint32_t>{2, 10'000, "periods"},
            &Settings::acceptedPeriods, Optional,
            "A new id is accepted for this many issue periods. Raising it lets callers hold "
            "ids longer and keeps records longer."),
        configKey<Settings>("max_records", IntegerValue<std::uint32_t>{100, 10'000'000, "records"},
                            &Settings::maxRecords, Optional,
                            "Submissions that this process remembers; further ones are refused."),
        configKey<Settings>(
            "lost_timeout_ms", MillisecondsValue{100, 3'600'000}, &Settings::lostTimeout, Optional,
            "A task whose executing agent was unreachable for this long is given up as "
            "lost."),
    };
}

} // namespace Bluebellquay
