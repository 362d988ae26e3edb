// The calls that an entry has open at homes, found by correlation number, by target and by the time
// they end at.
#pragma once

#include "core/entryoutbox.h"

#include <boost/intrusive/list.hpp>

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Bluebellquay {

enum class CallKind : std::uint8_t { Submit, Refuse, Await, Cancel, Status, Drain };

struct OpenCall : boost::intrusive::list_base_hook<>
{
    CallKind kind = CallKind::Await;
    CallId call;
    Correlation correlation;
    // Unused for Drain.
    SubmissionId id;
    // The process that answers; changes when a home is succeeded.
    Incarnation target;
    // Kept whole, to be sent again when a link to the target comes up.
    SharedMessage message;
    // The message was sent over a link at least once, so the home may have received it.
    bool sent = false;
    // When this entry ends the call without a reply; at most callerDeadline.
    TimePoint deadline;
    // When the caller's timeout expires, less a margin for returning the answer.
    TimePoint callerDeadline;
};

class OpenCalls
{
public:
    // The correlation number is drawn here and never reused.
    Correlation nextCorrelation() { return m_lastCorrelation = m_lastCorrelation.next(); }
    // References stay valid until the call is removed.
    OpenCall &add(OpenCall call);
    OpenCall *find(Correlation correlation);
    OpenCall *findByCall(CallId call);
    void remove(OpenCall &call);
    // Moves the call to another target without sending it.
    void retarget(OpenCall &call, Incarnation target);
    void reschedule(OpenCall &call, TimePoint deadline);

    // Copies, so that the caller may remove calls while it goes through them.
    std::vector<OpenCall *> callsTo(Incarnation target);
    std::vector<OpenCall *> all();
    // The call that ends next; null if there is none.
    OpenCall *next();
    std::size_t size() const { return m_calls.size(); }

private:
    using TargetList = boost::intrusive::list<OpenCall>;

    // Invariant: all four containers hold the same calls.
    std::unordered_map<Correlation, OpenCall> m_calls;
    std::unordered_map<CallId, Correlation> m_byCall;
    std::unordered_map<Incarnation, TargetList> m_byTarget;
    std::set<std::pair<TimePoint, Correlation>> m_byDeadline;
    Correlation m_lastCorrelation;
};

} // namespace Bluebellquay
