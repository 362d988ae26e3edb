// Another writer of announcements: sends an agent what its worker has not sent, or not now. Nothing
// that it says names a worker to use.
#pragma once

#include "kernel/timerservice.h"
#include "net/httpclient.h"
#include "standins/platformworker.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace Bluebellquay::Testing {

class ForeignWriter
{
public:
    // Tells the note what was sent.
    ForeignWriter(boost::asio::io_context &context, TimerService &timers,
                  boost::asio::ip::tcp::endpoint agent, std::uint64_t seed,
                  std::function<void(const std::string &)> note);

    // Sends any kind of announcement, whole or not.
    void announce(const PlatformWorker &worker);
    // Says that the worker has left.
    void sayGone(const PlatformWorker &worker);
    // Repeats the last announcement of the worker's life before the present one, if there was one.
    void repeatEarlierLife(const PlatformWorker &worker);

private:
    std::string wholeAnnouncement(const PlatformWorker &worker);
    std::string damaged(const std::string &announcement);
    std::uint64_t birth(const PlatformWorker &worker);
    void send(const std::string &method, std::string target, std::string body);
    std::uint64_t pick(std::uint64_t low, std::uint64_t high);

    HttpClient m_agent;
    std::mt19937_64 m_random;
    std::function<void(const std::string &)> m_note;
};

} // namespace Bluebellquay::Testing
