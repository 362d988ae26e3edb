#include "net/connectrequest.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace Bluebellquay {

namespace http = boost::beast::http;

namespace {

// A length is only a claim until the bytes are there, so no more than this is reserved for it.
constexpr std::uint64_t MaxReservedBytes = 64UL * 1024;
// Memory of a larger body is released after its request.
constexpr std::size_t MaxKeptBytes = 16UL * 1024;

void keepFirst(std::string &field, std::string_view value)
{
    if (field.empty())
        field = value;
}

} // namespace

void ConnectRequest::clear()
{
    method = http::verb::unknown;
    http11 = false;
    expectsContinue = false;
    for (std::string *text : {&target, &contentType, &contentEncoding, &protocolVersion, &timeout,
                              &authorization, &body})
        text->clear();
    if (body.capacity() > MaxKeptBytes)
        body.shrink_to_fit();
}

std::string_view ConnectRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

void ConnectRequestParser::on_request_impl(http::verb method, Text /*methodText*/, Text target,
                                           int version, ErrorCode & /*error*/)
{
    m_request.method = method;
    m_request.target = target;
    m_request.http11 = version >= 11;
}

void ConnectRequestParser::on_response_impl(int /*status*/, Text /*reason*/, int /*version*/,
                                            ErrorCode & /*error*/)
{ }

void ConnectRequestParser::on_field_impl(http::field name, Text nameText, Text value,
                                         ErrorCode & /*error*/)
{
    switch (name) {
    case http::field::content_type:
        keepFirst(m_request.contentType, value);
        return;
    case http::field::content_encoding:
        keepFirst(m_request.contentEncoding, value);
        return;
    case http::field::authorization:
        keepFirst(m_request.authorization, value);
        return;
    case http::field::expect:
        m_request.expectsContinue = boost::beast::iequals(value, "100-continue");
        return;
    case http::field::unknown:
        break;
    default:
        return;
    }
    if (boost::beast::iequals(nameText, "Connect-Timeout-Ms"))
        keepFirst(m_request.timeout, value);
    else if (boost::beast::iequals(nameText, "Connect-Protocol-Version"))
        keepFirst(m_request.protocolVersion, value);
}

void ConnectRequestParser::on_header_impl(ErrorCode & /*error*/) { }

void ConnectRequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length,
                                             ErrorCode & /*error*/)
{
    if (length)
        m_request.body.reserve(std::min(*length, MaxReservedBytes));
}

std::size_t ConnectRequestParser::on_body_impl(Text body, ErrorCode & /*error*/)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void ConnectRequestParser::on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                                                ErrorCode & /*error*/)
{ }

std::size_t ConnectRequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, Text body,
                                                     ErrorCode & /*error*/)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void ConnectRequestParser::on_finish_impl(ErrorCode & /*error*/) { }

} // namespace Bluebellquay
