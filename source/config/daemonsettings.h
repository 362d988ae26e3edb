// Settings of the daemons, read once at the start from a TOML file; see docs/CONFIGURATION.md.
#pragma once

#include "base/coretime.h"
#include "config/finding.h"
#include "kernel/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Bluebellquay {

// Settings that both daemons have. Addresses are IP number and port.
struct ProcessSettings
{
    std::string name;
    std::string dataCentre;
    std::string region;
    boost::asio::ip::tcp::endpoint peerListen;
    // host:port that peers are told; empty for the address of peerListen.
    std::string peerAdvertise;
    // Content of the file named by peer_secret_file, without trailing white space; never logged.
    std::string peerSecret;
    // Health, readiness and metrics.
    boost::asio::ip::tcp::endpoint adminListen;
    LogLevel logLevel = LogLevel::Info;
    Duration heartbeatInterval{500'000};
    Duration silenceTimeout{2'000'000};
    // Time that a planned stop may take.
    Duration stopTimeout{30'000'000};
};

struct EntrySettings
{
    ProcessSettings process;
    boost::asio::ip::tcp::endpoint callerListen;
    boost::asio::ip::tcp::endpoint operatorListen;
    std::string operatorSecret;
    // host:port of the platform's table service.
    std::string tableAddress;
    Duration tableTimeout{3'000'000};
    // How often the rules document is read from the table.
    Duration configPollInterval{1'000'000};
    // Time between SIGTERM and the end of accepting calls, for the balancer to notice.
    Duration drainGrace{1'000'000};
    // Calls in progress; above that, resource_exhausted.
    std::uint32_t maxCalls = 20'000;

    // On error the LEAF error carries Findings: all of them.
    static boost::leaf::result<EntrySettings> load(const std::string &path);
};

struct AgentSettings
{
    ProcessSettings process;
    // Where the upstream beside this agent announces itself; a loopback address.
    boost::asio::ip::tcp::endpoint upstreamListen;
    // host:port of the peer listeners of entries known in advance; more come from the directory.
    std::vector<std::string> entries;
    // An upstream that has not announced itself for this long gets no new task.
    Duration announceTimeout{2'000'000};
    // Length of an issue period, and how many periods an id stays acceptable.
    Duration issuePeriod{10'000'000};
    std::uint32_t acceptedPeriods = 12;
    // Records of submissions that this process may hold.
    std::uint32_t maxRecords = 200'000;
    // A task whose executing agent has been unreachable for this long is given up as lost.
    Duration lostTimeout{10'000'000};

    static boost::leaf::result<AgentSettings> load(const std::string &path);
};

} // namespace Bluebellquay
