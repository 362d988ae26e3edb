// Requests that the plain HTTP server answered itself because their handler did not.
#pragma once

#include "base/reasoncounts.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace Bluebellquay {

enum class UnansweredRequest : std::uint8_t {
    // The last reference to the exchange went without an answer: 502.
    ExchangeDropped,
    // The handler threw: 502.
    HandlerFailed,
};

constexpr std::array AllUnansweredRequests{
    UnansweredRequest::ExchangeDropped,
    UnansweredRequest::HandlerFailed,
};

constexpr std::string_view toString(UnansweredRequest reason)
{
    switch (reason) {
    case UnansweredRequest::HandlerFailed:
        return "handler_failed";
    case UnansweredRequest::ExchangeDropped:
        break;
    }
    return "exchange_dropped";
}

using UnansweredRequestCounts = ReasonCounts<UnansweredRequest, AllUnansweredRequests.size()>;

} // namespace Bluebellquay
