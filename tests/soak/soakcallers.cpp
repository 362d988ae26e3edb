#include "soak/soakcallers.h"

#include <cstdio>
#include <utility>

namespace Bluebellquay::Testing {

namespace {

// An entry answers 504 at the deadline that the caller has told; the caller still reads it.
constexpr Duration AnswerSlack{200'000};
constexpr Duration ReadyTimeout{15'000'000};
constexpr Duration SmallJobWait{2'000'000};
constexpr Duration RetryDelay{100'000};
constexpr Duration OneMillisecond{1'000};

} // namespace

SoakCallers::SoakCallers(SoakSite &site, std::uint64_t seed)
    : m_site(site)
    , m_seed(seed)
{
    for (const auto &entry : m_site.entries()) {
        m_clients.push_back(std::make_unique<HttpClient>(m_site.context(), m_site.timers(),
                                                         SoakSite::loopback(entry->otherPort)));
    }
}

std::string SoakCallers::newKey()
{
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(m_seed),
                  static_cast<unsigned>(++m_lastKey));
    return text;
}

void SoakCallers::submit(std::size_t entry, std::string target, std::string body, Duration wait,
                         HttpClient::Callback answered)
{
    HttpCall call{"POST",
                  std::move(target),
                  std::move(body),
                  {{"Host", "a.example"},
                   {"X-Bluebellquay-Deadline-Ms", std::to_string(wait / OneMillisecond)}},
                  wait + AnswerSlack};
    m_clients[entry]->call(std::move(call), std::move(answered));
}

std::vector<std::string> SoakCallers::waitUntilServing()
{
    std::vector<std::string> silent;
    const TimePoint latest = m_site.timers().now() + ReadyTimeout;
    for (std::size_t entry = 0; entry < m_clients.size(); ++entry) {
        bool served = false;
        while (!served && m_site.timers().now() < latest) {
            served = serves(entry);
            if (!served)
                m_site.pass(RetryDelay);
        }
        if (!served)
            silent.push_back(m_site.entries()[entry]->name);
    }
    return silent;
}

bool SoakCallers::serves(std::size_t entry)
{
    bool served = false;
    bool ended = false;
    submit(entry, "/x/" + newKey(),
           R"({"bestEffort":true,"spec":"100 1 ok","steps":[{"count":1,"cpu":100}]})", SmallJobWait,
           [&](const HttpReply &reply) {
               served = reply.answered(200);
               ended = true;
           });
    while (!ended)
        m_site.pass(5 * OneMillisecond);
    return served;
}

} // namespace Bluebellquay::Testing
