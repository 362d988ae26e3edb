// Runs the event loop of a test until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace Bluebellquay::Testing {

// The limit is only there to end a test that fails.
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition,
                     std::chrono::seconds limit = std::chrono::seconds(30))
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace Bluebellquay::Testing
