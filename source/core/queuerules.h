// Rules of the queues that callers submit keyed jobs to, as one configuration version defines them.
#pragma once

#include "base/coretime.h"
#include "base/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

struct QueueRule
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    // Pool of workers that runs the tasks.
    std::string service;
    // Zero comes first.
    std::uint32_t priority = 0;
    // A task that has failed this often makes its job fail.
    std::uint32_t maxAttempts = 1;
    // A job should be done within its longest chain of tasks times this, and the allowance more.
    double slackFactor = 1;
    Duration allowance{0};
    Duration timeout{0};
    // Why jobs of this queue are refused; empty if they are served.
    std::string notServed;
};

class QueueRules
{
public:
    QueueRules() = default;
    QueueRules(ConfigVersion version, std::vector<QueueRule> rules);

    ConfigVersion version() const { return m_version; }
    // The rule with the longest prefix of this path on this host; null if there is none.
    const QueueRule *find(std::string_view host, std::string_view path) const;
    std::size_t size() const { return m_size; }

private:
    ConfigVersion m_version;
    // By host; the rules of a host are ordered by descending length of the prefix.
    std::map<std::string, std::vector<QueueRule>, std::less<>> m_byHost;
    std::size_t m_size = 0;
};

} // namespace Bluebellquay
