// Calls that arrive before their process can decide on them: one that has just started reads its
// configuration within some 30 ms, and a refusal would send the crowd that waits for it away. The
// load is the return of all callers after a loss of power. Calls are held for a short time and
// within bounds; what is not held is refused at once.
//
// The owner calls hold() and, when it can decide or the time is over, take().
#pragma once

#include "base/coretime.h"
#include "net/httpserver.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Bluebellquay {

struct HeldCall
{
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
};

class HeldCalls
{
public:
    static constexpr std::size_t MaxCalls = 512;
    static constexpr std::size_t MaxBodyBytes = 1UL << 20;

    // Calls are held until then.
    explicit HeldCalls(TimePoint end)
        : m_end(end)
    { }

    TimePoint end() const { return m_end; }
    // Returns whether the call is held. One whose caller leaves meanwhile is dropped.
    bool hold(TimePoint now, const HttpRequest &request,
              const std::shared_ptr<HttpExchange> &exchange);
    // The calls that are held, in the order of their arrival. They are held no longer.
    std::vector<HeldCall> take();
    std::size_t size() const { return m_calls->size(); }

private:
    TimePoint m_end;
    std::size_t m_bodyBytes = 0;
    // Shared with the callbacks of the exchanges, which may outlive this object.
    std::shared_ptr<std::vector<HeldCall>> m_calls = std::make_shared<std::vector<HeldCall>>();
};

} // namespace Bluebellquay
