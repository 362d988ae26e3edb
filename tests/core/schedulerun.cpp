#include "core/schedulerun.h"

#include <sstream>

namespace Bluebellquay {

namespace {

constexpr Duration Second{1'000'000};
constexpr Duration BusyTime = Second * 30;
constexpr Duration IssuePeriodLength = Second * 4;
constexpr std::uint32_t AcceptedPeriods = 6;
// All deadlines have passed, and what was lost is given up.
constexpr Duration SettleTime = Second * 60;
// All issue periods in which a record may be kept have passed.
constexpr Duration DrainTime = IssuePeriodLength * (AcceptedPeriods + 6) + Second * 40;
constexpr std::uint32_t MaxAttempts = 3;

std::shared_ptr<RuleSet> scheduleRules()
{
    auto rules = std::make_shared<RuleSet>();
    BranchRule &branch = rules->branches["b"];
    branch.retryBudget = 1;
    KindRule &plain = branch.kinds["plain"];
    plain.deadline = Second * 20;
    KindRule &idempotent = branch.kinds["idempotent"];
    idempotent = plain;
    idempotent.idempotent = true;
    idempotent.maxAttempts = MaxAttempts;
    KindRule &urgent = branch.kinds["urgent"];
    urgent = plain;
    urgent.urgency = Urgency::Urgent;
    urgent.stopOnCancel = true;
    KindRule &brief = branch.kinds["brief"];
    brief = plain;
    brief.urgency = Urgency::Background;
    brief.deadline = Second;
    return rules;
}

} // namespace

std::string ScheduleTotals::toString() const
{
    std::ostringstream text;
    text << "submissions=" << submissions << " starts=" << starts << " completed=" << completed
         << " failed=" << failed << " not_run=" << notRun << " unknown=" << unknown
         << " faults=" << faults;
    return text.str();
}

ScheduleRun::ScheduleRun(std::uint64_t seed)
    : m_random(seed)
    , m_rules(scheduleRules())
{
    SiteOptions siteOptions = options(seed);
    m_calls.resize(siteOptions.entries);
    m_site = std::make_unique<VirtualSite>(std::move(siteOptions));
}

Duration ScheduleRun::drawTime(Duration limit)
{
    return Duration(static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(limit.count()))));
}

SiteOptions ScheduleRun::options(std::uint64_t seed)
{
    SiteOptions options;
    options.agents.assign(2 + draw(4), SiteOptions::AgentPlan{"north", 1});
    for (SiteOptions::AgentPlan &agent : options.agents) {
        agent.slots = static_cast<std::uint32_t>(1 + draw(3));
        agent.dataCentre = chance(0.5) ? "north" : "south";
    }
    options.seed = seed;
    options.issuePeriod = IssuePeriodLength;
    // Load hints only affect placement; fewer heartbeats leave time for more schedules.
    options.heartbeatInterval = Second * 2;
    options.acceptedPeriods = AcceptedPeriods;
    options.duplicateShare = chance(0.5) ? 0.1 : 0;
    // Long delays let links cross each other's frames.
    options.farDelay = chance(0.3) ? Second / 5 : Duration(1'000);
    options.rules = m_rules;
    const double failing = chance(0.3) ? 0.1 : 0.005;
    options.plan = [this, failing](const StartTask &, std::size_t) {
        TaskPlan plan;
        plan.runTime = chance(0.03) ? drawTime(Second * 8) : drawTime(Second / 2);
        plan.succeeds = !chance(failing);
        return plan;
    };
    options.started = [this](const StartTask &task, std::size_t) {
        m_auditor.started(task.task.submission, task.task.index, task.payload);
    };
    options.received = [this](std::size_t entry, const Message &message) {
        received(entry, message);
    };
    return options;
}

Job ScheduleRun::drawJob(std::uint64_t nonce, std::string_view variant)
{
    static constexpr std::array<std::string_view, 4> Kinds{"plain", "idempotent", "urgent",
                                                           "brief"};
    Job job;
    job.branch = "b";
    job.kind = Kinds[draw(Kinds.size())];
    job.tasks.resize(chance(0.6) ? 1 : 2 + draw(12));
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        job.tasks[i].payload = std::to_string(nonce) + std::string(variant) + std::to_string(i);
    return job;
}

void ScheduleRun::submitNew()
{
    const std::size_t home = draw(m_site->agents());
    const AgentCore *core = m_site->agent(home);
    if (core == nullptr)
        return;
    const std::uint64_t nonce = m_submissions.size() + 1;
    Submission submission;
    // The entry may have learned the period from an old heartbeat.
    IssuePeriod period = core->heartbeat(m_site->now()).issuePeriod;
    if (chance(0.1))
        period = IssuePeriod(static_cast<std::uint32_t>(
            period.value() - std::min<std::uint64_t>(draw(AcceptedPeriods + 2), period.value())));
    submission.id = SubmissionId(m_site->incarnation(home), period, Nonce(nonce));
    submission.job = drawJob(nonce, "-a-");
    submission.other = drawJob(nonce, "-b-");
    const auto allowed = [](const Job &job) {
        return job.kind == "idempotent" && job.tasks.size() == 1 ? MaxAttempts : 1;
    };
    m_auditor.expectBody(submission.id, submission.job, allowed(submission.job));
    m_auditor.expectBody(submission.id, submission.other,
                         std::max(allowed(submission.job), allowed(submission.other)));
    m_submissions.push_back(submission);
    const std::size_t index = m_submissions.size() - 1;
    if (!chance(0.05))
        sendSubmit(index, submission.job);
    for (std::uint64_t i = draw(5); i > 0; --i) {
        // At once, soon, or after the record is gone.
        const Duration limit = chance(0.4) ? Duration(2'000)
            : chance(0.8)                  ? Second * 10
                                           : IssuePeriodLength * (AcceptedPeriods + 4);
        m_site->after(drawTime(limit), [this, index] { followUp(index); });
    }
}

void ScheduleRun::sendSubmit(std::size_t submission, const Job &job)
{
    Submit submit;
    submit.id = m_submissions[submission].id;
    submit.job = job;
    submit.detach = chance(0.2);
    call(submission, submit, digestOf(job));
}

void ScheduleRun::call(std::size_t submission, Message message, std::optional<JobDigest> body)
{
    const SubmissionId id = m_submissions[submission].id;
    const std::size_t entry = draw(m_site->entries());
    const Correlation correlation(++m_correlation);
    std::visit(
        [&](auto &content) {
            if constexpr (requires { content.correlation; })
                content.correlation = correlation;
        },
        message);
    m_calls[entry].emplace(correlation, Call{id, body});
    // A stopped home is asked at every agent, because the entries here keep no directory.
    if (!m_site->sendFromEntry(entry, id.home(), message)) {
        const std::size_t agent = draw(m_site->agents());
        m_site->sendFromEntry(entry, m_site->incarnation(agent), std::move(message));
    }
}

void ScheduleRun::followUp(std::size_t submission)
{
    const Submission &target = m_submissions[submission];
    const std::uint64_t kind = draw(100);
    if (kind < 50)
        sendSubmit(submission, target.job);
    else if (kind < 60)
        sendSubmit(submission, target.other);
    else if (kind < 75)
        call(submission, Await{{}, target.id}, std::nullopt);
    else if (kind < 85)
        call(submission, Cancel{{}, target.id}, std::nullopt);
    else if (kind < 93)
        call(submission, Refuse{{}, target.id, Reason::Overload, Second}, std::nullopt);
    else
        call(submission, Query{{}, target.id}, std::nullopt);
}

void ScheduleRun::received(std::size_t entry, const Message &message)
{
    const Reply *reply = std::get_if<Reply>(&message);
    if (reply == nullptr)
        return;
    const auto position = m_calls[entry].find(reply->correlation);
    if (position == m_calls[entry].end()) {
        m_auditor.fail(reply->id, "a reply was sent to an entry that has no such call");
        return;
    }
    const Call &answered = position->second;
    m_auditor.replied(answered.id, answered.body ? &*answered.body : nullptr, *reply);
}

void ScheduleRun::fault()
{
    ++m_faults;
    if (chance(0.5))
        faultOnLink();
    else
        faultOnAgent();
}

void ScheduleRun::faultOnLink()
{
    const std::size_t a = draw(m_site->agents());
    const std::size_t b = draw(m_site->agents() + m_site->entries());
    if (a == b)
        return;
    if (chance(0.5)) {
        m_site->silence(a, b);
    } else if (chance(0.3)) {
        m_site->silence(b, a);
    } else {
        m_site->cut(a, b);
        m_site->after(drawTime(Second * 20), [this, a, b] { m_site->heal(a, b); });
    }
}

void ScheduleRun::faultOnAgent()
{
    const std::size_t agent = draw(m_site->agents());
    switch (draw(7)) {
    case 0:
        m_site->kill(agent);
        m_site->after(drawTime(Second * 5), [this, agent] { m_site->restart(agent); });
        break;
    case 1:
    case 2:
        m_site->freeze(agent);
        m_site->after(drawTime(chance(0.5) ? Second * 4 : Second * 50),
                      [this, agent] { m_site->wake(agent); });
        break;
    case 3:
        m_site->restartUpstream(agent);
        break;
    case 4:
        m_site->upstreamSilent(agent);
        m_site->after(drawTime(Second * 3), [this, agent] { m_site->upstreamAnnounce(agent); });
        break;
    case 5:
        m_site->drain(agent);
        m_site->after(drawTime(Second * 5), [this, agent] { m_site->restartUpstream(agent); });
        break;
    default:
        if (!m_stopped)
            m_site->beginStop(agent);
        m_stopped = true;
        break;
    }
}

void ScheduleRun::checkMemoryBound()
{
    for (std::size_t i = 0; i < m_site->agents(); ++i) {
        const AgentCore *core = m_site->agent(i);
        if (core == nullptr)
            continue;
        const CoreMemory memory = core->memory();
        const std::size_t limit = m_submissions.size();
        if (memory.records > limit || memory.reservations > limit || memory.outstandingPulls > 100
            || memory.registryEntries > limit * 13)
            m_auditor.fail({}, "memory is above its bound");
    }
}

void ScheduleRun::checkAnswered()
{
    for (std::size_t i = 0; i < m_site->agents(); ++i) {
        const CoreMemory memory = m_site->agent(i)->memory();
        if (memory.activeSubmissions > 0 || memory.reservations > 0 || memory.outstandingPulls > 0)
            m_auditor.fail({}, "agent " + std::to_string(i) + " has unfinished submissions");
        if (memory.registryEntries > 0)
            m_auditor.fail({}, "agent " + std::to_string(i) + " keeps tasks unacknowledged");
    }
}

void ScheduleRun::checkDrained()
{
    for (std::size_t i = 0; i < m_site->agents(); ++i) {
        const CoreMemory memory = m_site->agent(i)->memory();
        if (memory.records > 0 && !m_site->agent(i)->stopped())
            m_auditor.fail({}, "agent " + std::to_string(i) + " keeps records");
        if (memory.waiters > 0 || memory.adoptedHomes > 0)
            m_auditor.fail({}, "agent " + std::to_string(i) + " keeps waiters or adopted homes");
    }
}

std::vector<std::string> ScheduleRun::run(ScheduleTotals &totals)
{
    const std::uint64_t submissions = 20 + draw(60);
    for (std::uint64_t i = 0; i < submissions; ++i)
        m_site->at(TimePoint(Second) + drawTime(BusyTime), [this] { submitNew(); });
    for (std::uint64_t i = draw(12); i > 0; --i)
        m_site->at(TimePoint(Second) + drawTime(BusyTime), [this] { fault(); });
    for (Duration time = Second; time < BusyTime; time += Second)
        m_site->at(TimePoint(time), [this] { checkMemoryBound(); });
    const TimePoint healed(BusyTime + Second * 21);
    m_site->run(healed);
    m_site->healAll();
    m_site->run(healed + SettleTime);
    checkAnswered();
    m_site->run(healed + SettleTime + DrainTime);
    checkDrained();

    totals.submissions += m_submissions.size();
    totals.starts += m_auditor.starts();
    totals.completed += m_auditor.answers(Outcome::Completed);
    totals.failed += m_auditor.answers(Outcome::Failed);
    totals.notRun += m_auditor.answers(Outcome::NotRun);
    totals.unknown += m_auditor.answers(Outcome::Unknown);
    totals.faults += m_faults;
    return m_auditor.violations();
}

} // namespace Bluebellquay
