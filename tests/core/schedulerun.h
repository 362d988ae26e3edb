// One random schedule: submissions, resubmissions, cancels and faults drawn from a seed.
#pragma once

#include "core/siteauditor.h"
#include "core/virtualsite.h"

#include <memory>
#include <unordered_map>

namespace Bluebellquay {

struct ScheduleTotals
{
    std::uint64_t submissions = 0;
    std::uint64_t starts = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t faults = 0;

    std::string toString() const;
};

class ScheduleRun
{
public:
    explicit ScheduleRun(std::uint64_t seed);

    // Returns the violations.
    std::vector<std::string> run(ScheduleTotals &totals);

private:
    struct Submission
    {
        SubmissionId id;
        // The body that is submitted, and another one under the same id.
        Job job;
        Job other;
    };
    struct Call
    {
        SubmissionId id;
        std::optional<JobDigest> body;
    };

    std::uint64_t draw(std::uint64_t limit) { return m_random() % limit; }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    Duration drawTime(Duration limit);
    SiteOptions options(std::uint64_t seed);
    Job drawJob(std::uint64_t nonce, std::string_view variant);
    void submitNew();
    void followUp(std::size_t submission);
    void call(std::size_t submission, Message message, std::optional<JobDigest> body);
    void sendSubmit(std::size_t submission, const Job &job);
    void received(std::size_t entry, const Message &message);
    void fault();
    void faultOnLink();
    void faultOnAgent();
    void checkMemoryBound();
    void checkAnswered();
    void checkDrained();

    std::mt19937_64 m_random;
    std::shared_ptr<RuleSet> m_rules;
    SiteAuditor m_auditor;
    std::vector<Submission> m_submissions;
    std::vector<std::unordered_map<Correlation, Call>> m_calls;
    std::uint64_t m_correlation = 0;
    std::uint64_t m_faults = 0;
    // At most one agent is stopped for good in a schedule, so that work can go on.
    bool m_stopped = false;
    // Last, because it calls back into the members above.
    std::unique_ptr<VirtualSite> m_site;
};

} // namespace Bluebellquay
