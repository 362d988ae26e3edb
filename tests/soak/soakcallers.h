// The callers of a soak: submit jobs to the entries of its site.
#pragma once

#include "net/httpclient.h"
#include "soak/soaksite.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

// Between the end of a submission without an outcome and the next one.
constexpr Duration Resubmission{1'300'000};

class SoakCallers
{
public:
    // Jobs of different seeds have different keys.
    SoakCallers(SoakSite &site, std::uint64_t seed);

    // Key of a job that was not submitted before.
    std::string newKey();
    // Submits the job, whose caller waits this long, and a little longer for an answer that is on
    // its way.
    void submit(std::size_t entry, std::string target, std::string body, Duration wait,
                HttpClient::Callback answered);
    // Submits small jobs to each entry until it has completed one. Returns the names of the entries
    // that did not.
    std::vector<std::string> waitUntilServing();

private:
    // Whether the entry completes a small job.
    bool serves(std::size_t entry);

    SoakSite &m_site;
    std::uint64_t m_seed;
    std::size_t m_lastKey = 0;
    // One for each entry.
    std::vector<std::unique_ptr<HttpClient>> m_clients;
};

} // namespace Bluebellquay::Testing
