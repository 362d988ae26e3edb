// Event loop and calls for tests of the stand-ins.
#pragma once

#include "config/networkaddress.h"
#include "kernel/timerservice.h"
#include "net/connectclient.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Bluebellquay {

class StandinFixture
{
protected:
    // Generous: reached only when a test fails.
    static constexpr std::chrono::seconds Limit{30};

    StandinFixture()
        : m_timers(m_context)
    { }

    static boost::asio::ip::tcp::endpoint anyPort() { return *parseEndpoint("127.0.0.1:0"); }
    static std::string address(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

    // Runs the event loop until the condition holds. Returns whether it does.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + Limit;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(100));
        }
        return condition();
    }

    template <typename Response, typename Request>
    void send(unsigned short port, const std::string &method, const Request &request,
              std::optional<ConnectResult<Response>> &result,
              Duration timeout = std::chrono::seconds(10))
    {
        client(port).call<Response>(
            method, request, timeout,
            [&result](ConnectResult<Response> answer) { result = std::move(answer); });
    }

    template <typename Response, typename Request>
    ConnectResult<Response> call(unsigned short port, const std::string &method,
                                 const Request &request,
                                 Duration timeout = std::chrono::seconds(10))
    {
        std::optional<ConnectResult<Response>> result;
        send(port, method, request, result, timeout);
        REQUIRE(runUntil([&] { return result.has_value(); }));
        return *result;
    }

    template <typename Response, typename Request>
    Response mustCall(unsigned short port, const std::string &method, const Request &request)
    {
        const ConnectResult<Response> result = call<Response>(port, method, request);
        REQUIRE(std::holds_alternative<Response>(result));
        return std::get<Response>(result);
    }

    boost::asio::io_context m_context{1};
    TimerService m_timers;

private:
    ConnectClient &client(unsigned short port)
    {
        std::unique_ptr<ConnectClient> &found = m_clients[port];
        if (!found) {
            ConnectClientSettings settings;
            settings.address = address(port);
            found = ConnectClient::create(m_context, settings).value();
        }
        return *found;
    }

    std::map<unsigned short, std::unique_ptr<ConnectClient>> m_clients;
};

} // namespace Bluebellquay
