// Names under which the services of a daemon are registered.
#pragma once

#include <string_view>

namespace Bluebellquay::ServiceNames {

constexpr std::string_view Timers = "timers";
constexpr std::string_view Metrics = "metrics";
constexpr std::string_view Peers = "peers";
constexpr std::string_view Calls = "calls";
constexpr std::string_view Rules = "rules";
constexpr std::string_view CallerServer = "caller_server";
constexpr std::string_view OperatorServer = "operator_server";
constexpr std::string_view AdminServer = "admin_server";
constexpr std::string_view Upstream = "upstream";
constexpr std::string_view Store = "store";

} // namespace Bluebellquay::ServiceNames
