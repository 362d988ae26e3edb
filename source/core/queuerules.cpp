#include "core/queuerules.h"

#include <algorithm>

namespace Bluebellquay {

QueueRules::QueueRules(ConfigVersion version, std::vector<QueueRule> rules)
    : m_version(version)
    , m_size(rules.size())
{
    for (QueueRule &rule : rules) {
        std::vector<QueueRule> &host = m_byHost[rule.host];
        host.push_back(std::move(rule));
    }
    for (auto &[name, host] : m_byHost) {
        std::stable_sort(host.begin(), host.end(), [](const QueueRule &a, const QueueRule &b) {
            return a.pathPrefix.size() > b.pathPrefix.size();
        });
    }
}

const QueueRule *QueueRules::find(std::string_view host, std::string_view path) const
{
    const auto rules = m_byHost.find(host);
    if (rules == m_byHost.end())
        return nullptr;
    for (const QueueRule &rule : rules->second) {
        if (path.starts_with(rule.pathPrefix))
            return &rule;
    }
    return nullptr;
}

} // namespace Bluebellquay
