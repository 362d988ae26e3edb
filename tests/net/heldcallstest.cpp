// Guards against callers that are refused by a process that has just started and could serve them a
// moment later, and against a hold without bounds.
#include "net/heldcalls.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <utility>

using namespace Bluebellquay;
using namespace std::chrono_literals;

namespace {

class RecordedExchange final : public HttpExchange
{
public:
    void respond(HttpResponse) override { }
    void onClosed(std::function<void()> callback) override { closed = std::move(callback); }

    std::function<void()> closed;
};

HttpRequest requestOf(std::size_t bodyBytes)
{
    HttpRequest request;
    request.body.assign(bodyBytes, ' ');
    return request;
}

} // namespace

TEST_CASE("Calls are held in order until the end, and dropped when their callers leave", "[net]")
{
    const TimePoint start{1s};
    HeldCalls held(start + 250ms);
    std::vector<std::shared_ptr<RecordedExchange>> exchanges;
    for (std::size_t i = 0; i < 3; ++i) {
        exchanges.push_back(std::make_shared<RecordedExchange>());
        CHECK(held.hold(start, requestOf(i), exchanges.back()));
    }
    exchanges[1]->closed();
    const std::vector<HeldCall> calls = held.take();
    REQUIRE(calls.size() == 2);
    CHECK(calls[0].request.body.empty());
    CHECK(calls[1].request.body.size() == 2);
    CHECK(held.size() == 0);
    CHECK_FALSE(held.hold(start + 250ms, requestOf(0), exchanges[0]));
    // A caller that leaves later is none of its business.
    exchanges[2]->closed();
}

TEST_CASE("Calls beyond the bounds are not held", "[net]")
{
    const TimePoint start{1s};
    HeldCalls held(start + 250ms);
    const auto exchange = std::make_shared<RecordedExchange>();
    CHECK(held.hold(start, requestOf(HeldCalls::MaxBodyBytes), exchange));
    CHECK_FALSE(held.hold(start, requestOf(1), exchange));
    for (std::size_t i = 1; i < HeldCalls::MaxCalls; ++i)
        CHECK(held.hold(start, requestOf(0), exchange));
    CHECK_FALSE(held.hold(start, requestOf(0), exchange));
}
