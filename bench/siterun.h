// Serves a trace with the real AgentCores of a virtual site: 11 workers and 3 entries in 3 data
// centres. The IdIssuer of an entry chooses the home agent of each submission.
#pragma once

#include "arrivaltrace.h"
#include "messagecount.h"
#include "servedarrival.h"

#include "core/idissuer.h"
#include "core/processdirectory.h"
#include "core/virtualsite.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Bluebellquay {

struct SiteRunOptions
{
    std::uint64_t seed = 1;
    // One worker is killed, one link between workers repeatedly loses messages, and one worker
    // fails every task.
    bool faults = false;
};

class SiteRun
{
public:
    SiteRun(const ArrivalTrace &trace, const SiteRunOptions &options);

    void run();

    // In the order of the arrivals.
    const std::vector<ServedArrival> &served() const { return m_served; }
    const MessageCount &messages() const { return m_messages; }
    // Median run time of short requests.
    Duration medianShortRunTime() const;
    // True for single requests of at most 1 second, that is, those not drawn 20 times longer than
    // usual. All other work counts as long.
    static bool isShort(const Arrival &arrival);

private:
    static constexpr std::size_t DataCentres = 3;
    struct Entry
    {
        ProcessDirectory directory;
        IdIssuer issuer;
    };

    SiteOptions siteOptions();
    void addEntries();
    void refreshDirectories();
    void submit(std::size_t index);
    void scheduleFaults();
    TaskPlan started(const StartTask &task, std::size_t agent);
    void recordStart(std::size_t index, const Arrival &arrival, Duration runTime);
    void received(const Message &message);
    // Time so far in which long work held at least one slot.
    Duration longBusy() const;
    void changeLongRunning(int change);

    const ArrivalTrace &m_trace;
    SiteRunOptions m_options;
    std::vector<ServedArrival> m_served;
    // For each arrival: value of longBusy() when its home agent received it.
    std::vector<Duration> m_longBusyAtArrival;
    std::size_t m_unanswered = 0;
    MessageCount m_messages;
    std::mt19937_64 m_random;
    std::uint64_t m_nonce = 0;
    int m_longRunning = 0;
    Duration m_longBusy{0};
    TimePoint m_longSince{};
    std::vector<Entry> m_entries;
    std::unique_ptr<VirtualSite> m_site;
};

} // namespace Bluebellquay
