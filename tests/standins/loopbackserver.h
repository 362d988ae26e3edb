// HTTP server of a stand-in, on a loopback port that the kernel picks.
#pragma once

#include "net/httpserver.h"

#include <memory>

namespace Bluebellquay::Testing {

// Calls the handler of the stand-in, which owns the server, for each request.
template <typename StandIn>
std::unique_ptr<HttpServer>
serveOnLoopback(boost::asio::io_context &context, TimerService &timers, StandIn &owner,
                void (StandIn::*handle)(const HttpRequest &, const std::shared_ptr<HttpExchange> &))
{
    HttpServerSettings settings;
    settings.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
    return HttpServer::create(context, timers, settings,
                              [&owner, handle](const HttpRequest &request,
                                               const std::shared_ptr<HttpExchange> &exchange) {
                                  (owner.*handle)(request, exchange);
                              })
        .value();
}

} // namespace Bluebellquay::Testing
