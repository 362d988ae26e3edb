// A PeerNode of a test with all its handlers recorded.
#pragma once

#include "kernel/metrics.h"
#include "kernel/timerservice.h"
#include "net/peernode.h"
#include "net/testloop.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bluebellquay::Testing {

constexpr const char *Secret = "secret-of-the-tests";

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
    // Times since which peers are known to have been alive.
    std::vector<TimePoint> alive;
    std::function<void(Incarnation, const Message &)> onReceived;
    std::unique_ptr<PeerNode> node;
};

} // namespace Bluebellquay::Testing
