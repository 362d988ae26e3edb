// Plain HTTP/1.1 client by Boost.Beast for interfaces that are not ours to define. Connections to
// one server are kept and reused, one call on each at a time.
#pragma once

#include "base/coretime.h"
#include "kernel/timerservice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

struct HttpCall
{
    std::string method;
    std::string target;
    // Sent as application/json if it is not empty.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    // Until the whole response is there.
    Duration timeout{1'000'000};
};

enum class HttpCallEnd {
    Answered,
    // No connection: the server has not seen the call.
    NotSent,
    // Whether the server has carried the call out is not known.
    NoAnswer,
};

struct HttpReply
{
    HttpCallEnd end = HttpCallEnd::NoAnswer;
    // Valid if answered.
    unsigned status = 0;
    std::string body;
    // Set with NoAnswer if the connection ended before the answer, rather than the time.
    bool disconnected = false;
    // Set with NotSent if nothing listens at the server's address, as its machine has said.
    bool refused = false;

    bool answered(unsigned expected) const
    {
        return end == HttpCallEnd::Answered && status == expected;
    }
};

class HttpClient
{
public:
    using Callback = std::function<void(HttpReply)>;

    HttpClient(boost::asio::io_context &context, TimerService &timers,
               boost::asio::ip::tcp::endpoint server);
    // Pending calls are not called back.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // The callback runs once, never from within call().
    void call(HttpCall call, Callback callback);
    const boost::asio::ip::tcp::endpoint &server() const;
    // Drops connections that are not in use.
    void dropIdle();

private:
    class Connection;
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace Bluebellquay
