#include "bench/process/measurements.h"
#include "bluebellquay/v1/dispatcher.pb.h"
#include "net/connectclient.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace Bluebellquay::Benchmark {

namespace {

namespace v1 = bluebellquay::v1;
using Clock = std::chrono::steady_clock;

constexpr double BoundSeconds = 2;
constexpr unsigned QuickChanges = 3;
constexpr unsigned FullChanges = 20;
constexpr std::chrono::seconds CallTimeout(10);

std::string rulesText()
{
    std::ifstream file("examples/rules.toml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns the version that is assigned to the new document.
std::uint64_t apply(const Testing::Site &site, unsigned entry, std::uint64_t expectedVersion)
{
    boost::asio::io_context context;
    ConnectClientSettings settings;
    settings.address = site.operatorAddress(entry);
    settings.bearerSecret = site.operatorSecret();
    auto client = ConnectClient::create(context, settings);
    if (!client)
        throw std::runtime_error("bad address " + settings.address);
    v1::ApplyConfigRequest request;
    request.set_document(rulesText() + "# change " + std::to_string(expectedVersion) + "\n");
    request.set_expected_version(expectedVersion);
    request.set_change_id("bench-" + std::to_string(expectedVersion));
    bool ended = false;
    std::uint64_t version = 0;
    (*client)->call<v1::ApplyConfigResponse>(
        "bluebellquay.v1.Operator/ApplyConfig", request, CallTimeout,
        [&](const ConnectResult<v1::ApplyConfigResponse> &result) {
            ended = true;
            if (const auto *response = std::get_if<v1::ApplyConfigResponse>(&result))
                version = response->version();
            else
                std::cout << "  apply failed: " << std::get<ConnectError>(result).message
                          << std::endl;
        });
    while (!ended && context.run_one() > 0) { }
    if (version <= expectedVersion)
        throw std::runtime_error("a change of the rules was not accepted");
    return version;
}

double reportedVersion(const Testing::Site &site, const std::string &address)
{
    return site.metric(address, "bluebellquay_config_version");
}

} // namespace

Measures measureConfigInForce(Testing::Site &site, bool quick)
{
    const unsigned entries = site.layout().entries;
    if (entries == 0)
        throw std::runtime_error("the site has no entry");
    std::vector<std::string> processes;
    for (unsigned i = 0; i < entries; ++i)
        processes.push_back(site.entryAdminAddress(i));
    for (unsigned i = 0; i < site.layout().agents; ++i)
        processes.push_back(site.agentAdminAddress(i));
    const unsigned changes = quick ? QuickChanges : FullChanges;
    auto version = static_cast<std::uint64_t>(reportedVersion(site, processes.front()));
    double longest = 0;
    for (unsigned i = 0; i < changes; ++i) {
        // Each change goes to the next entry; the others learn of it from the table or from agents.
        version = apply(site, i % entries, version);
        const Clock::time_point accepted = Clock::now();
        for (const std::string &process : processes) {
            site.waitFor("version " + std::to_string(version) + " at " + process, [&] {
                return reportedVersion(site, process) >= static_cast<double>(version);
            });
        }
        longest = std::max(longest, std::chrono::duration<double>(Clock::now() - accepted).count());
    }
    return {{"config_in_force_s", longest, "s", BoundSeconds, Direction::AtMost, std::nullopt,
             "longest of " + std::to_string(changes) + " changes at "
                 + std::to_string(processes.size()) + " processes"}};
}

} // namespace Bluebellquay::Benchmark
