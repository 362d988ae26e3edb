// A PeerNode of a test with all its handlers recorded, and a loop that runs until a condition
// holds.
#pragma once

#include "kernel/metrics.h"
#include "kernel/timerservice.h"
#include "net/peernode.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

constexpr const char *Secret = "secret-of-the-tests";

// Runs the event loop until the condition holds. The limit is only there to end a test that fails.
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

struct TestPeer
{
    TestPeer(boost::asio::io_context &context, TimerService &timers, std::uint64_t incarnation,
             const std::function<void(PeerNodeSettings &)> &adjust = {});

    std::string address() const { return "127.0.0.1:" + std::to_string(node->port()); }
    std::uint64_t counted(const std::string &name, const MetricLabels &labels = {})
    {
        return metrics.counter(name, labels).value();
    }
    std::uint64_t closed(const std::string &reason)
    {
        return counted("bluebellquay_peer_links_closed_total", {{"reason", reason}});
    }

    Metrics metrics;
    std::vector<ProcessInfo> ups;
    std::vector<Incarnation> downs;
    // Without heartbeats.
    std::vector<Message> received;
    std::size_t heartbeats = 0;
    std::function<void(Incarnation, const Message &)> onReceived;
    std::unique_ptr<PeerNode> node;
};

} // namespace Bluebellquay::Testing
