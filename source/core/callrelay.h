// Relays the calls of callers to the homes that answer for them, again whenever a link to the home
// comes back, and tells each caller what is known when its time is over.
#pragma once

#include "core/entrystatistics.h"
#include "core/opencalls.h"
#include "core/processdirectory.h"

#include <string>
#include <vector>

namespace Bluebellquay {

struct CallRelaySettings
{
    // A call without a timeout of its caller ends after this time.
    Duration defaultTimeout{60'000'000};
    // Longer timeouts are cut to this.
    Duration maxTimeout{600'000'000};
    // How long a call to a home unknown to this entry waits for the home to connect; agents redial
    // within 2 s.
    Duration unknownHomeTimeout{5'000'000};
    // Retry delay that is returned to the caller with home_silent.
    Duration silentRetryAfter{1'000'000};
};

class CallRelay
{
public:
    // The directory and the statistics have to outlive the relay.
    CallRelay(CallRelaySettings settings, const ProcessDirectory &directory,
              EntryStatistics &statistics);

    Correlation nextCorrelation() { return m_calls.nextCorrelation(); }
    // Opens a call whose kind, call, correlation, id and message are set; for a drain, the target
    // instead of the id. The timeout counts from now.
    void open(TimePoint now, OpenCall call, std::optional<Duration> timeout, EntryOutbox &out);
    void handleReply(Incarnation from, Reply reply, EntryOutbox &out);
    void handleDrainAck(Incarnation from, const DrainAck &ack, EntryOutbox &out);
    // The caller of an open call is gone; the call ends without a result.
    void callerLeft(CallId id, EntryOutbox &out);

    // A new link to this process is up: sends everything unanswered again.
    void linkUp(Incarnation peer, EntryOutbox &out);
    // Asks the successor of this home what the home itself can't answer any more.
    void homeSucceeded(Incarnation home, EntryOutbox &out);
    void homesGone(const std::vector<Incarnation> &homes, EntryOutbox &out);

    // Ends the calls whose time is over.
    void advance(TimePoint now, EntryOutbox &out);
    // Ends every call with "unknown, ask again".
    void endAll(EntryOutbox &out);

    // When the next call ends; nothing if none is open.
    std::optional<TimePoint> nextDeadline();
    std::size_t size() const { return m_calls.size(); }

private:
    void send(OpenCall &call, EntryOutbox &out);
    void finish(OpenCall &call, CallResult result, EntryOutbox &out);
    void finishUnknown(OpenCall &call, Reason reason, std::string detail, EntryOutbox &out);
    void finishReply(OpenCall &call, Incarnation from, Reply reply, EntryOutbox &out);
    void finishFinal(OpenCall &call, Reply reply, EntryOutbox &out);
    void sendStopWaiting(const OpenCall &call, EntryOutbox &out) const;

    CallRelaySettings m_settings;
    const ProcessDirectory &m_directory;
    EntryStatistics &m_statistics;
    OpenCalls m_calls;
};

} // namespace Bluebellquay
