#include "net/connectmessage.h"

#include <boost/beast/core/string.hpp>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/type_resolver.h>
#include <google/protobuf/util/type_resolver_util.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <unordered_map>

namespace Bluebellquay {

namespace {

using google::protobuf::util::JsonParseOptions;
using google::protobuf::util::JsonPrintOptions;

constexpr const char *TypeUrlPrefix = "type.googleapis.com";

// Keeps the type descriptions that the JSON conversion needs. Without it, protobuf derives them
// anew from the descriptors for each message.
class CachingTypeResolver : public google::protobuf::util::TypeResolver
{
public:
    using Status = google::protobuf::util::Status;

    Status ResolveMessageType(const std::string &url, google::protobuf::Type *type) override
    {
        const auto position = m_types.find(url);
        if (position != m_types.end()) {
            *type = position->second;
            return Status();
        }
        const Status status = m_resolver->ResolveMessageType(url, type);
        if (status.ok())
            m_types.emplace(url, *type);
        return status;
    }
    Status ResolveEnumType(const std::string &url, google::protobuf::Enum *type) override
    {
        const auto position = m_enums.find(url);
        if (position != m_enums.end()) {
            *type = position->second;
            return Status();
        }
        const Status status = m_resolver->ResolveEnumType(url, type);
        if (status.ok())
            m_enums.emplace(url, *type);
        return status;
    }

private:
    std::unique_ptr<google::protobuf::util::TypeResolver> m_resolver{
        google::protobuf::util::NewTypeResolverForDescriptorPool(
            TypeUrlPrefix, google::protobuf::DescriptorPool::generated_pool())};
    // Bounded by the types that are compiled in: only types that were found are kept.
    std::unordered_map<std::string, google::protobuf::Type> m_types;
    std::unordered_map<std::string, google::protobuf::Enum> m_enums;
};

// One for each thread, since its maps are not locked.
CachingTypeResolver &typeResolver()
{
    thread_local CachingTypeResolver resolver;
    return resolver;
}

std::string typeUrl(const google::protobuf::Message &message)
{
    return std::string(TypeUrlPrefix) + "/" + message.GetTypeName();
}

std::optional<std::string> decodeJson(std::string_view body, google::protobuf::Message &message)
{
    JsonParseOptions options;
    options.ignore_unknown_fields = false;
    std::string binary;
    const auto status = google::protobuf::util::JsonToBinaryString(
        &typeResolver(), typeUrl(message), {body.data(), body.size()}, &binary, options);
    if (status.ok() && message.ParseFromString(binary))
        return std::nullopt;
    return "the body is not the JSON form of " + message.GetTypeName() + ": "
        + status.message().ToString();
}

} // namespace

std::optional<ConnectEncoding> connectEncodingOf(std::string_view contentType)
{
    std::string_view type = contentType.substr(0, contentType.find(';'));
    while (!type.empty() && (type.back() == ' ' || type.back() == '\t'))
        type.remove_suffix(1);
    if (boost::beast::iequals(type, mediaType(ConnectEncoding::Proto)))
        return ConnectEncoding::Proto;
    if (boost::beast::iequals(type, mediaType(ConnectEncoding::Json)))
        return ConnectEncoding::Json;
    return std::nullopt;
}

std::string_view mediaType(ConnectEncoding encoding)
{
    return encoding == ConnectEncoding::Proto ? "application/proto" : "application/json";
}

std::optional<std::string> decodeConnectBody(std::string_view body, ConnectEncoding encoding,
                                             google::protobuf::Message &message)
{
    if (encoding == ConnectEncoding::Json)
        return decodeJson(body, message);
    if (message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return std::nullopt;
    return "the body is not a binary " + message.GetTypeName();
}

bool appendConnectBody(const google::protobuf::Message &message, ConnectEncoding encoding,
                       std::string &out)
{
    if (encoding == ConnectEncoding::Proto)
        return message.AppendToString(&out);
    std::string json;
    if (!google::protobuf::util::BinaryToJsonString(&typeResolver(), typeUrl(message),
                                                    message.SerializeAsString(), &json,
                                                    JsonPrintOptions())
             .ok())
        return false;
    out += json;
    return true;
}

std::string encodeConnectError(const ConnectError &error)
{
    const nlohmann::json body{{"code", toString(error.code)}, {"message", error.message}};
    // Messages may quote bytes of a request; invalid UTF-8 in them must not raise an exception.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ConnectError decodeConnectError(std::string_view body, unsigned status)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    ConnectError error{connectCodeOfStatus(status), "HTTP status " + std::to_string(status), true};
    if (!json.is_object())
        return error;
    const auto code = json.find("code");
    if (code != json.end() && code->is_string()) {
        if (const auto parsed = parseConnectCode(code->get_ref<const std::string &>()))
            error.code = *parsed;
    }
    const auto message = json.find("message");
    if (message != json.end() && message->is_string())
        error.message = message->get<std::string>();
    return error;
}

} // namespace Bluebellquay
