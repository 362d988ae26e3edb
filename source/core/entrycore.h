// Decision logic of one entry: issues submission ids, validates submissions, relays calls to their
// homes (the agents that keep the records of the submissions) and returns the results to callers.
// No I/O and no clock: the process around it hands in calls, messages and time and carries out the
// EntryOutbox.
//
// An entry never says "not run" by itself: only an answer that a home has recorded says so.
#pragma once

#include "config/ruleset.h"
#include "core/callrelay.h"
#include "core/entryoutbox.h"
#include "core/entrystatistics.h"
#include "core/idissuer.h"
#include "core/jobvalidator.h"
#include "core/processdirectory.h"

#include <bluebellquay/v1/dispatcher.pb.h>
#include <boost/leaf.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Bluebellquay {

struct EntryCoreSettings
{
    ProcessInfo self;
    // Limit of calls in progress; further calls fail with ResourceExhausted.
    std::uint32_t maxCalls = 20'000;
    // Share of maxCalls, in [0, 1), that is kept for urgent submissions and calls about existing
    // ids.
    double urgentReserve = 0.1;
    CallRelaySettings relay;
    // Time after which a caller may retry a submission refused because this entry is overloaded.
    Duration overloadRetryAfter{1'000'000};
    Duration directoryInterval{10'000'000};
    // Agents accept an id for 12 issue periods of 10 s. The period of its issue counts and may be
    // almost over, and 10 s more are reserved for late heartbeats and the delivery of the call.
    Duration idValidity{100'000'000};
    std::uint32_t maxIdsPerCall = 10'000;
    // Seed of the random choice of homes.
    std::uint64_t seed = 0;
};

struct ReservedIds
{
    std::vector<SubmissionId> ids;
    // The ids must be used first within this time.
    Duration validFor{0};
    // Homes that are gone; callers discard the ids of these homes that they have not used yet.
    std::vector<Incarnation> goneHomes;
};

class EntryCore
{
public:
    // Fails with std::string if a setting is out of range.
    static boost::leaf::result<std::unique_ptr<EntryCore>> create(EntryCoreSettings settings,
                                                                  NonceSource nonces);

    // Messages from peers. Configuration messages go to ConfigManager instead.
    void handle(TimePoint now, Incarnation from, const Heartbeat &heartbeat);
    void handle(Incarnation from, Reply reply, EntryOutbox &out);
    void handle(Incarnation from, const DrainAck &ack, EntryOutbox &out);
    void handle(TimePoint now, const SuccessionNotice &succeeded, EntryOutbox &out);
    void countUnexpectedMessage() { ++m_statistics.messagesUnexpected; }

    void peerUp(TimePoint now, const ProcessInfo &peer, EntryOutbox &out);
    void peerDown(TimePoint now, Incarnation peer);
    // Sets the other entries, as read from the platform's table.
    void setEntries(std::vector<ProcessInfo> entries)
    {
        m_directory.setEntries(std::move(entries));
    }

    // Sets the rules that submissions are checked against. No call is served before the first
    // rules.
    void setRules(std::shared_ptr<const RuleSet> rules) { m_rules = std::move(rules); }

    // Calls of callers and operators. Each call ends exactly once through out, at the latest at its
    // timeout, which counts from now and is nothing if the caller has set none.
    using Timeout = std::optional<Duration>;
    void submit(TimePoint now, CallId call, const bluebellquay::v1::SubmitRequest &request,
                Timeout timeout, EntryOutbox &out);
    void await(TimePoint now, CallId call, std::string_view id, Timeout timeout, EntryOutbox &out);
    void cancel(TimePoint now, CallId call, std::string_view id, Timeout timeout, EntryOutbox &out);
    void status(TimePoint now, CallId call, std::string_view id, Timeout timeout, EntryOutbox &out);
    void drain(TimePoint now, CallId call, std::string_view agent, Timeout timeout,
               EntryOutbox &out);
    // The caller of an open call is gone; the call ends without a result.
    void callerLeft(CallId call, EntryOutbox &out) { m_relay.callerLeft(call, out); }

    // The error carries a CallError.
    boost::leaf::result<ReservedIds> reserveIds(TimePoint now, std::uint32_t count);

    // Ends every open call with "unknown, ask again": the process is about to exit.
    void endCalls(EntryOutbox &out) { m_relay.endAll(out); }

    // Processes expired timers; has to be called again at nextWakeup() at the latest.
    void advance(TimePoint now, EntryOutbox &out);
    TimePoint nextWakeup();

    const ProcessDirectory &directory() const { return m_directory; }
    const EntryStatistics &statistics() const { return m_statistics; }
    std::size_t openCalls() const { return m_relay.size(); }

private:
    EntryCore(EntryCoreSettings settings, NonceSource nonces);

    bool admitCall(CallId call, EntryOutbox &out) const;
    bool mustShed(Urgency urgency) const;
    std::optional<SubmissionId> parseId(CallId call, std::string_view text, EntryOutbox &out);
    // Starts a call about an existing submission id; CallMessage is the message sent to its home.
    template <typename CallMessage>
    void queryHome(TimePoint now, CallKind kind, CallId call, std::string_view text,
                   Timeout timeout, EntryOutbox &out);
    void sendDirectory(TimePoint now, EntryOutbox &out);

    EntryCoreSettings m_settings;
    ProcessDirectory m_directory;
    IdIssuer m_issuer;
    // Null until the first rules.
    std::shared_ptr<const RuleSet> m_rules;
    EntryStatistics m_statistics;
    CallRelay m_relay;
    TimePoint m_nextDirectorySend;
    TimePoint m_nextExpiry;
    // Revision of the directory that agents have been sent last.
    std::uint64_t m_sentDirectoryRevision = 0;
};

} // namespace Bluebellquay
