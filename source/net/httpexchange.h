// Private part of HttpServer: what a handler holds of one request. Refers to the session of the
// request, and has the caller answered if it is destroyed without a response.
#pragma once

#include "net/httpsession.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Bluebellquay {

class HttpServer::Exchange final : public HttpExchange
{
public:
    // The number is the session's for this request; calls for an earlier one have no effect.
    Exchange(std::shared_ptr<Session> session, std::uint64_t number);
    ~Exchange() override;

    void respond(HttpResponse response) override;
    void onClosed(std::function<void()> callback) override;

private:
    std::shared_ptr<Session> m_session;
    std::uint64_t m_number;
    bool m_responded = false;
};

} // namespace Bluebellquay
