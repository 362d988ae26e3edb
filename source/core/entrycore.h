// All decisions of one entry: issues ids, checks submissions, relays calls to the homes that
// remember them and tells callers what is known. No I/O and no clock: the process around it hands
// in calls, messages and time and carries out the EntryOutbox.
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
    // Calls in progress; above that, resource_exhausted.
    std::uint32_t maxCalls = 20'000;
    // Part of maxCalls that only urgent submissions and calls about known ids may use.
    double urgentReserve = 0.1;
    CallRelaySettings relay;
    // When to come back after a refusal because of overload here.
    Duration overloadRetryAfter{1'000'000};
    Duration directoryInterval{10'000'000};
    // Agents accept an id for 12 issue periods of 10 s, the one of its issue included, which may be
    // all but over; 10 s more are kept for lagging heartbeats and the way of the call.
    Duration idValidity{100'000'000};
    std::uint32_t maxIdsPerCall = 10'000;
    // Of the choice of homes.
    std::uint64_t seed = 0;
};

struct ReservedIds
{
    std::vector<SubmissionId> ids;
    // The ids must be used first within this time.
    Duration validFor{0};
    // Homes whose ids are to be discarded if they were never sent.
    std::vector<Incarnation> goneHomes;
};

class EntryCore
{
public:
    // Fails with std::string if a setting is out of range.
    static boost::leaf::result<std::unique_ptr<EntryCore>> create(EntryCoreSettings settings,
                                                                  NonceSource nonces);

    // Messages of peers. Configuration messages go to ConfigKeeper instead.
    void handle(TimePoint now, Incarnation from, const Heartbeat &heartbeat);
    void handle(Incarnation from, Reply reply, EntryOutbox &out);
    void handle(Incarnation from, const DrainAck &ack, EntryOutbox &out);
    void handle(TimePoint now, const SuccessionNotice &succeeded, EntryOutbox &out);
    void countUnexpectedMessage() { ++m_statistics.messagesUnexpected; }

    void peerUp(TimePoint now, const ProcessInfo &peer, EntryOutbox &out);
    void peerDown(TimePoint now, Incarnation peer);
    // Entries as read from the table.
    void setEntries(std::vector<ProcessInfo> entries)
    {
        m_directory.setEntries(std::move(entries));
    }

    // Rules to check submissions with. Until the first ones, no call is served.
    void setRules(std::shared_ptr<const RuleSet> rules) { m_rules = std::move(rules); }

    // Calls. Each ends exactly once through out, at once or later, at the latest at its timeout.
    // The timeout counts from now; nothing if the caller has set none.
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

    // Does what is due; nextWakeup() says when to call it again at the latest.
    void advance(TimePoint now, EntryOutbox &out);
    TimePoint nextWakeup();

    const ProcessDirectory &directory() const { return m_directory; }
    const EntryStatistics &statistics() const { return m_statistics; }
    std::size_t openCalls() const { return m_relay.size(); }

private:
    EntryCore(EntryCoreSettings settings, NonceSource nonces);

    bool admits(CallId call, EntryOutbox &out) const;
    bool sheds(Urgency urgency) const;
    std::optional<SubmissionId> parseId(CallId call, std::string_view text, EntryOutbox &out);
    // Starts a call about an id; makes its message from the correlation and the id.
    template <typename CallMessage>
    void askHome(TimePoint now, CallKind kind, CallId call, std::string_view text, Timeout timeout,
                 EntryOutbox &out);
    void sendDirectory(TimePoint now, EntryOutbox &out);

    EntryCoreSettings m_settings;
    ProcessDirectory m_directory;
    IdIssuer m_issuer;
    // Null until the first rules.
    std::shared_ptr<const RuleSet> m_rules;
    EntryStatistics m_statistics;
    CallRelay m_relay;
    TimePoint m_nextDirectory;
    TimePoint m_nextExpiry;
    // Revision of the directory that agents have been sent last.
    std::uint64_t m_sentRevision = 0;
};

} // namespace Bluebellquay
