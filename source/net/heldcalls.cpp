#include "net/heldcalls.h"

#include <utility>

namespace Bluebellquay {

bool HeldCalls::hold(TimePoint now, const HttpRequest &request,
                     const std::shared_ptr<HttpExchange> &exchange)
{
    if (now >= m_end || m_calls->size() >= MaxCalls
        || m_bodyBytes + request.body.size() > MaxBodyBytes)
        return false;
    m_bodyBytes += request.body.size();
    m_calls->push_back({request, exchange});
    exchange->onClosed([weak = std::weak_ptr(m_calls), held = exchange.get()] {
        const auto calls = weak.lock();
        if (!calls)
            return;
        std::erase_if(*calls, [held](const HeldCall &call) { return call.exchange.get() == held; });
    });
    return true;
}

std::vector<HeldCall> HeldCalls::take()
{
    m_bodyBytes = 0;
    return std::exchange(*m_calls, {});
}

} // namespace Bluebellquay
