// Why the plain HTTP server ended a connection, and how often each reason occurred.
#pragma once

#include "base/reasoncounts.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace Bluebellquay {

enum class ConnectionEnd : std::uint8_t {
    // No request had begun.
    IdleTimeout,
    ClientClosed,
    // The last response said that the connection ends with it.
    ResponseSent,
    // A request had begun and was not complete.
    RequestTimeout,
    RequestCutShort,
    // The request was complete and had no response.
    ClientGoneBeforeHandling,
    ClientGoneWhileHandling,
    // Made room for others: the least recently active of too many connections, or of those whose
    // unfinished requests take too much memory.
    ConnectionLimit,
    MemoryLimit,
    // The response could not be sent.
    WriteFailed,
    WriteTimeout,
    ServerClosed,
    // Nothing referred to the session any more.
    SessionDropped,
};

constexpr std::array AllConnectionEnds{
    ConnectionEnd::IdleTimeout,
    ConnectionEnd::ClientClosed,
    ConnectionEnd::ResponseSent,
    ConnectionEnd::RequestTimeout,
    ConnectionEnd::RequestCutShort,
    ConnectionEnd::ClientGoneBeforeHandling,
    ConnectionEnd::ClientGoneWhileHandling,
    ConnectionEnd::ConnectionLimit,
    ConnectionEnd::MemoryLimit,
    ConnectionEnd::WriteFailed,
    ConnectionEnd::WriteTimeout,
    ConnectionEnd::ServerClosed,
    ConnectionEnd::SessionDropped,
};

constexpr std::string_view toString(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::IdleTimeout:
        return "idle_timeout";
    case ConnectionEnd::ClientClosed:
        return "client_closed";
    case ConnectionEnd::ResponseSent:
        return "response_sent";
    case ConnectionEnd::RequestTimeout:
        return "request_timeout";
    case ConnectionEnd::RequestCutShort:
        return "request_cut_short";
    case ConnectionEnd::ClientGoneBeforeHandling:
        return "client_gone_before_handling";
    case ConnectionEnd::ClientGoneWhileHandling:
        return "client_gone_while_handling";
    case ConnectionEnd::ConnectionLimit:
        return "connection_limit";
    case ConnectionEnd::MemoryLimit:
        return "memory_limit";
    case ConnectionEnd::WriteFailed:
        return "write_failed";
    case ConnectionEnd::WriteTimeout:
        return "write_timeout";
    case ConnectionEnd::ServerClosed:
        return "server_closed";
    case ConnectionEnd::SessionDropped:
        break;
    }
    return "session_dropped";
}

using ConnectionEndCounts = ReasonCounts<ConnectionEnd, AllConnectionEnds.size()>;

} // namespace Bluebellquay
