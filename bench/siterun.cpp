#include "siterun.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Bluebellquay {

namespace {

constexpr Duration Second{1'000'000};
constexpr Duration FarDelay{1'000};
constexpr Duration HeartbeatInterval = Second / 2;
constexpr Duration SilentLinkInterval = Second * 20;
// Time after the end of the trace after which missing answers are no longer waited for.
constexpr Duration MaxAnswerWait = Second * 700;
constexpr Duration LongRunTime = Second;
constexpr std::array<const char *, 3> Names{"fukuoka", "kumamoto", "kagoshima"};

constexpr std::size_t DeadWorker = 0;
constexpr std::size_t FailingWorker = 5;
constexpr std::pair<std::size_t, std::size_t> SilentLink{2, 8};

// Returns the indices of the arrival and of its task, which submit() writes as "arrival:task".
std::pair<std::size_t, std::size_t> parsePayload(const std::string &payload)
{
    std::pair<std::size_t, std::size_t> result;
    const char *const end = payload.data() + payload.size();
    const auto [separator, error] = std::from_chars(payload.data(), end, result.first);
    if (error == std::errc() && separator != end)
        std::from_chars(separator + 1, end, result.second);
    return result;
}

} // namespace

SiteRun::SiteRun(const ArrivalTrace &trace, const SiteRunOptions &options)
    : m_trace(trace)
    , m_options(options)
    , m_served(trace.arrivals().size())
    , m_longBusyAtArrival(trace.arrivals().size())
    , m_unanswered(trace.arrivals().size())
    , m_random(options.seed)
{
    m_site = std::make_unique<VirtualSite>(siteOptions());
    addEntries();
}

SiteOptions SiteRun::siteOptions()
{
    SiteOptions options;
    options.agents.clear();
    for (std::size_t i = 0; i < ArrivalTrace::Workers; ++i)
        options.agents.push_back({Names[i % DataCentres], ArrivalTrace::SlotsPerWorker});
    options.entries = DataCentres;
    options.entryDataCentres.assign(Names.begin(), Names.end());
    options.nearDelay = ArrivalTrace::NearDelay;
    options.farDelay = FarDelay;
    options.heartbeatInterval = HeartbeatInterval;
    options.seed = m_options.seed;
    options.rules = m_trace.rules();
    options.plan = [this](const StartTask &task, std::size_t agent) {
        return started(task, agent);
    };
    options.received = [this](std::size_t, const Message &message) { received(message); };
    options.sent = [this](std::size_t from, std::size_t to, const Message &message) {
        // The site sends messages for new links during its construction; they are not counted.
        if (m_site && from < ArrivalTrace::Workers && to < ArrivalTrace::Workers)
            m_messages.sent(m_site->now(), from, to, message);
    };
    return options;
}

void SiteRun::addEntries()
{
    for (std::size_t i = 0; i < DataCentres; ++i) {
        ProcessInfo self;
        self.incarnation = m_site->incarnation(ArrivalTrace::Workers + i);
        self.role = ProcessRole::Entry;
        self.dataCentre = Names[i];
        m_entries.push_back(Entry{ProcessDirectory(self),
                                  IdIssuer(
                                      self.dataCentre, self.region,
                                      [this] { return Nonce(++m_nonce); }, m_options.seed + i)});
        for (std::size_t agent = 0; agent < ArrivalTrace::Workers; ++agent) {
            ProcessInfo info;
            info.incarnation = m_site->incarnation(agent);
            info.name = "p" + std::to_string(agent);
            info.dataCentre = Names[agent % DataCentres];
            m_entries.back().directory.linkUp(m_site->now(), info);
        }
    }
    refreshDirectories();
}

void SiteRun::refreshDirectories()
{
    for (Entry &entry : m_entries) {
        for (std::size_t agent = 0; agent < ArrivalTrace::Workers; ++agent) {
            const AgentCore *core = m_site->agent(agent);
            if (core != nullptr)
                entry.directory.heartbeat(m_site->now(), m_site->incarnation(agent),
                                          core->heartbeat(m_site->now()));
            else
                entry.directory.linkDown(m_site->now(), m_site->incarnation(agent));
        }
    }
    m_site->after(HeartbeatInterval, [this] { refreshDirectories(); });
}

void SiteRun::submit(std::size_t index)
{
    const Arrival &arrival = m_trace.arrivals()[index];
    const std::size_t entry = m_random() % m_entries.size();
    const auto id = m_entries[entry].issuer.issue(m_entries[entry].directory);
    if (!id)
        return;
    Submit submit;
    submit.correlation = Correlation(index + 1);
    submit.id = *id;
    submit.job.branch = ArrivalTrace::Branch;
    submit.job.kind = m_trace.kindOf(arrival).name;
    for (std::size_t task = 0; task < arrival.runTimes.size(); ++task) {
        submit.job.tasks.push_back(
            TaskSpec{std::to_string(index) + ":" + std::to_string(task), arrival.declared[task]});
    }
    const std::size_t home = m_site->positionOf(id->home()).value();
    const Duration delay = home % DataCentres == entry ? ArrivalTrace::NearDelay : FarDelay;
    m_site->sendFromEntry(entry, id->home(), std::move(submit));
    m_site->after(delay, [this, index] { m_longBusyAtArrival[index] = longBusy(); });
}

TaskPlan SiteRun::started(const StartTask &task, std::size_t agent)
{
    const auto [index, taskIndex] = parsePayload(task.payload);
    TaskPlan plan;
    plan.succeeds = !m_options.faults || agent != FailingWorker;
    plan.runTime = plan.succeeds ? m_trace.arrivals()[index].runTimes[taskIndex] : Duration(1'000);
    recordStart(index, m_trace.arrivals()[index], plan.runTime);
    return plan;
}

void SiteRun::recordStart(std::size_t index, const Arrival &arrival, Duration runTime)
{
    ServedArrival &served = m_served[index];
    if (!served.started) {
        served.started = m_site->now();
        served.blockedByLong = longBusy() - m_longBusyAtArrival[index];
    }
    if (isShort(arrival))
        return;
    changeLongRunning(1);
    m_site->after(runTime, [this] { changeLongRunning(-1); });
}

void SiteRun::changeLongRunning(int change)
{
    m_longBusy = longBusy();
    m_longSince = m_site->now();
    m_longRunning += change;
}

Duration SiteRun::longBusy() const
{
    return m_longBusy + (m_longRunning > 0 ? m_site->now() - m_longSince : Duration(0));
}

void SiteRun::received(const Message &message)
{
    const Reply *reply = std::get_if<Reply>(&message);
    if (reply == nullptr || !reply->answer)
        return;
    ServedArrival &served = m_served[reply->correlation.value() - 1];
    if (served.answered)
        return;
    served.answered = m_site->now() + ArrivalTrace::ClientDelay;
    served.outcome = reply->answer->outcome;
    served.reason = reply->answer->reason;
    served.retryAfter = reply->answer->retryAfter.has_value();
    --m_unanswered;
}

void SiteRun::scheduleFaults()
{
    const TimePoint first(Second * 5);
    m_site->at(first, [this] { m_site->kill(DeadWorker); });
    for (TimePoint time = first; time < m_trace.end(); time += SilentLinkInterval)
        m_site->at(time, [this] { m_site->silence(SilentLink.first, SilentLink.second); });
}

void SiteRun::run()
{
    for (std::size_t i = 0; i < m_trace.arrivals().size(); ++i)
        m_site->at(m_trace.arrivals()[i].time + ArrivalTrace::ClientDelay,
                   [this, i] { submit(i); });
    if (m_options.faults)
        scheduleFaults();
    m_site->run(m_trace.end());
    while (m_unanswered > 0 && m_site->now() < m_trace.end() + MaxAnswerWait)
        m_site->run(m_site->now() + Second);
}

bool SiteRun::isShort(const Arrival &arrival)
{
    return !arrival.isJob() && arrival.runTimes.front() <= LongRunTime;
}

Duration SiteRun::medianShortRunTime() const
{
    std::vector<Duration> runTimes;
    for (const Arrival &arrival : m_trace.arrivals()) {
        if (isShort(arrival))
            runTimes.push_back(arrival.runTimes.front());
    }
    const auto middle = runTimes.begin() + static_cast<std::ptrdiff_t>(runTimes.size() / 2);
    std::nth_element(runTimes.begin(), middle, runTimes.end());
    return *middle;
}

} // namespace Bluebellquay
