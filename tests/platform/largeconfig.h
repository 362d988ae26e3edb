// A configuration document as large as the one of the incident in docs/incidents.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Bluebellquay::Platform {

// Each queue has a host of its own in ten, and fields that the decoder ignores.
inline std::string largeConfig(std::uint64_t version, int queues)
{
    nlohmann::json document{{"version", version}, {"limits", nlohmann::json::object()}};
    for (int i = 0; i < queues; ++i) {
        const std::string number = std::to_string(i);
        document["services"].push_back({{"name", "service-" + number}, {"policy", "spread"}});
        document["routes"].push_back(
            {{"name", "queue-" + number},
             {"host", "host-" + std::to_string(i / 10) + ".example"},
             {"pathPrefix", "/branch/department/" + number + "/"},
             {"service", "service-" + number},
             {"timeoutMs", 20'000},
             {"objectiveMs", 850},
             {"priority", 3},
             {"maxAttempts", 4},
             {"slackFactor", 1.65},
             {"requirements", {{"labels", {"a", "r1-3"}}, {"antiAffinity", {{"perMachine", 4}}}}},
             {"retryOn", {"connect", "reset", "5xx"}},
             {"comment", "a field that is not read, as long as the others"}});
    }
    return document.dump();
}

} // namespace Bluebellquay::Platform
