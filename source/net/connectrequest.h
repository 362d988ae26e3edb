// Private part of ConnectServer: the parts of an HTTP request that the protocol looks at, and
// their parser.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Values of absent fields are empty. Of a repeated field the first one counts. The strings keep
// their memory from one request of a connection to the next.
struct ConnectRequest
{
    boost::beast::http::verb method = boost::beast::http::verb::unknown;
    bool http11 = false;
    bool expectsContinue = false;
    std::string target;
    std::string contentType;
    std::string contentEncoding;
    std::string protocolVersion;
    std::string timeout;
    std::string authorization;
    std::string body;

    void clear();
    // Without the query.
    std::string_view path() const;
};

// Parses one request into a ConnectRequest, which must outlive it. Beast's own request parser
// allocates a node for every field; this one keeps the few fields that are used.
class ConnectRequestParser : public boost::beast::http::basic_parser<true>
{
public:
    explicit ConnectRequestParser(ConnectRequest &request)
        : m_request(request)
    { }

private:
    using ErrorCode = boost::system::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, Text methodText, Text target, int version,
                         ErrorCode &error) override;
    void on_response_impl(int status, Text reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field name, Text nameText, Text value,
                       ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error) override;
    std::size_t on_body_impl(Text body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, Text body, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;

    ConnectRequest &m_request;
};

} // namespace Bluebellquay
