// Rules of the queues that callers submit keyed jobs to, as defined by one version of the
// configuration.
#pragma once

#include "base/coretime.h"
#include "base/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// One queue: the requests it matches, the service that runs its tasks, and its objectives.
struct QueueRule
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    // Pool of workers that runs the tasks.
    std::string service;
    // Zero is most urgent.
    std::uint32_t priority = 0;
    // Number of failed runs of one task that makes its job fail.
    std::uint32_t maxAttempts = 1;
    // The objective for a job is its critical path times slackFactor, plus allowance.
    double slackFactor = 1;
    Duration allowance{0};
    // Value of timeoutMs in the configuration of the queue; nothing reads it yet.
    Duration timeout{0};
    // Reason why jobs of this queue are refused; empty if they are accepted.
    std::string notServed;
};

class QueueRules
{
public:
    QueueRules() = default;
    QueueRules(ConfigVersion version, std::vector<QueueRule> rules);

    ConfigVersion version() const { return m_version; }
    // Returns the rule of this host with the longest prefix of the path; null if none matches.
    const QueueRule *find(std::string_view host, std::string_view path) const;
    std::size_t size() const { return m_size; }

private:
    ConfigVersion m_version;
    // By host. The rules of a host are sorted by descending length of the prefix.
    std::map<std::string, std::vector<QueueRule>, std::less<>> m_byHost;
    std::size_t m_size = 0;
};

} // namespace Bluebellquay
