// Effects that the decision logic of an entry requests: messages to peers and results of calls.
#pragma once

#include "base/messages.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Bluebellquay {

// A call of a caller or operator; chosen by the process around the core, never reused by it.
using CallId = StrongId<struct CallIdTag>;

enum class CallErrorKind : std::uint8_t {
    InvalidArgument,   // rejected before anything was sent
    AlreadyExists,     // the id was used with another body
    NotFound,          // no submission or agent of this id or name
    Unavailable,       // this entry can't serve now
    ResourceExhausted, // too many calls in progress at this entry
    DeadlineExceeded,
    Aborted, // a concurrent change was applied first
    FailedPrecondition,
};

// Error of a call; says nothing about the outcome of a submission.
struct CallError
{
    CallErrorKind kind = CallErrorKind::Unavailable;
    std::string message;
};

// What is known about a submission.
struct SubmissionState
{
    SubmissionId id;
    // Nothing while the submission has no final answer.
    std::optional<Answer> answer;
    TaskProgress progress;
};

// State of an agent after a drain was asked for.
struct DrainState
{
    AgentState state = AgentState::Leaving;
};

using CallResult = std::variant<SubmissionState, DrainState, CallError>;

struct CallEnd
{
    CallId call;
    CallResult result;
};

// A message is shared because a call is kept to be resent and a directory is sent to many agents.
using SharedMessage = std::shared_ptr<const Message>;

struct EntryEnvelope
{
    Incarnation to;
    SharedMessage message;
};

// Collects effects in order; the process carries them out after the call has returned.
struct EntryOutbox
{
    std::vector<EntryEnvelope> messages;
    std::vector<CallEnd> ends;

    void send(Incarnation to, Message message)
    {
        messages.push_back({to, std::make_shared<const Message>(std::move(message))});
    }
    void send(Incarnation to, SharedMessage message)
    {
        messages.push_back({to, std::move(message)});
    }
    void end(CallId call, CallResult result) { ends.push_back({call, std::move(result)}); }
    void fail(CallId call, CallErrorKind kind, std::string message)
    {
        end(call, CallError{kind, std::move(message)});
    }
    void clear()
    {
        messages.clear();
        ends.clear();
    }
};

} // namespace Bluebellquay
