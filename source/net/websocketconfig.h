// Configuration of websocketpp for this project: no log output, no locks, no timeouts of its
// own. Include this from websockettransport.cpp only.
#pragma once

#include <websocketpp/common/platforms.hpp>

#include <websocketpp/common/cpp11.hpp>
#include <websocketpp/common/stdint.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/connection_base.hpp>
#include <websocketpp/endpoint_base.hpp>
#include <websocketpp/extensions/permessage_deflate/disabled.hpp>
#include <websocketpp/http/request.hpp>
#include <websocketpp/http/response.hpp>
#include <websocketpp/logger/levels.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

#include <cstdint>
#include <random>

namespace Bluebellquay {

// Random numbers for upgrade requests and for the masking keys of control frames. Neither protects
// a peer link from anything, so a generator without a system call for each number is enough.
class MaskGenerator
{
public:
    std::uint32_t operator()() { return m_engine(); }

private:
    std::mt19937 m_engine{std::random_device{}()};
};

// The names are those that websocketpp asks for.
// NOLINTBEGIN(readability-identifier-naming)
struct WebSocketConfig
{
    using type = WebSocketConfig;
    // Everything runs on the one thread of the io_context.
    using concurrency_type = websocketpp::concurrency::none;
    using request_type = websocketpp::http::parser::request;
    using response_type = websocketpp::http::parser::response;
    using message_type =
        websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager>;
    using con_msg_manager_type = websocketpp::message_buffer::alloc::con_msg_manager<message_type>;
    using endpoint_msg_manager_type =
        websocketpp::message_buffer::alloc::endpoint_msg_manager<con_msg_manager_type>;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = MaskGenerator;
    using endpoint_base = websocketpp::endpoint_base;
    using connection_base = websocketpp::connection_base;

    static constexpr bool enable_multithreading = false;

    struct transport_config
    {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static constexpr bool enable_multithreading = false;
        // In milliseconds. Peer links set shorter deadlines of their own; the library has no way to
        // switch these off.
        static constexpr long timeout_socket_pre_init = 5000;
        static constexpr long timeout_proxy = 5000;
        static constexpr long timeout_socket_post_init = 5000;
        static constexpr long timeout_dns_resolve = 5000;
        static constexpr long timeout_connect = 5000;
        static constexpr long timeout_socket_shutdown = 5000;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    // Zero switches these off: the timer service of the process sets the deadlines.
    static constexpr long timeout_open_handshake = 0;
    static constexpr long timeout_close_handshake = 0;
    static constexpr long timeout_pong = 0;
    static constexpr int client_version = 13; // RFC 6455
    static constexpr websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static constexpr websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    static constexpr std::size_t connection_read_buffer_size = 16384;
    static constexpr bool drop_on_protocol_error = true;
    static constexpr bool silent_close = false;
    // Replaced by the limit of the settings.
    static constexpr std::size_t max_message_size = 8UL << 20;
    static constexpr std::size_t max_http_body_size = 0;
    // False makes the client fail each upgrade; compression stays off by the type below.
    static constexpr bool enable_extensions = true;

    struct permessage_deflate_config
    {
        using request_type = type::request_type;
        static constexpr bool allow_disabling_context_takeover = true;
        static constexpr std::uint8_t minimum_outgoing_window_bits = 8;
    };
    using permessage_deflate_type =
        websocketpp::extensions::permessage_deflate::disabled<permessage_deflate_config>;
};
// NOLINTEND(readability-identifier-naming)

} // namespace Bluebellquay
