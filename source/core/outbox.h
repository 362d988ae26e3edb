// Effects that a core requests: messages to send, and tasks to start or stop on the upstream.
#pragma once

#include "base/messages.h"

#include <string>
#include <vector>

namespace Bluebellquay {

// A message and the process that it goes to.
struct Envelope
{
    Incarnation to;
    Message message;
};

// Start this task on the upstream. The process calls back with its outcome.
struct StartTask
{
    TaskKey task;
    std::string branch;
    std::string kind;
    std::string payload;
};

// Stop this task on the upstream if it still runs. Its outcome is reported as usual.
struct StopTask
{
    TaskKey task;
};

// Collects the effects of one or more calls into a core, in order. The caller sends what is in it
// after the call has returned, so a core never runs re-entrantly.
struct Outbox
{
    std::vector<Envelope> messages;
    std::vector<StartTask> starts;
    std::vector<StopTask> stops;

    void send(Incarnation to, Message message)
    {
        messages.push_back(Envelope{to, std::move(message)});
    }
    bool empty() const { return messages.empty() && starts.empty() && stops.empty(); }
    void clear()
    {
        messages.clear();
        starts.clear();
        stops.clear();
    }
};

} // namespace Bluebellquay
