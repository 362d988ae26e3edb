#include "net/testpeer.h"

#include "kernel/log.h"

#include <stdexcept>
#include <utility>

namespace Bluebellquay::Testing {

TestPeer::TestPeer(boost::asio::io_context &context, TimerService &timers,
                   std::uint64_t incarnation, const std::function<void(PeerNodeSettings &)> &adjust)
{
    [[maybe_unused]] static const bool LogReady = [] {
        initializeLog("test", LogLevel::Error);
        return true;
    }();
    PeerNodeSettings settings;
    settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
    settings.secret = Secret;
    settings.minRedialDelay = Duration(1000);
    if (adjust)
        adjust(settings);
    ProcessInfo self;
    self.incarnation = Incarnation(incarnation);
    self.name = "peer-" + std::to_string(incarnation);
    PeerHandlers handlers;
    handlers.up = [this](const ProcessInfo &peer) { ups.push_back(peer); };
    handlers.down = [this](Incarnation peer) { downs.push_back(peer); };
    handlers.received = [this](Incarnation from, const Message &message) {
        if (std::holds_alternative<Heartbeat>(message)) {
            ++heartbeats;
            return;
        }
        received.push_back(message);
        if (onReceived)
            onReceived(from, message);
    };
    handlers.alive = [this](Incarnation, TimePoint at) { alive.push_back(at); };
    handlers.heartbeat = [] { return Heartbeat(); };
    node = boost::leaf::try_handle_all(
        [&] {
            return PeerNode::create(context, timers, metrics, std::move(settings), std::move(self),
                                    std::move(handlers));
        },
        []() -> std::unique_ptr<PeerNode> { throw std::runtime_error("no PeerNode"); });
}

} // namespace Bluebellquay::Testing
