// Listening address on a command line.
#pragma once

#include "config/networkaddress.h"
#include "standins/commandline.h"

#include <string>

namespace Bluebellquay {

// Errors: CommandLineError.
inline boost::leaf::result<boost::asio::ip::tcp::endpoint> endpointOption(const std::string &option,
                                                                          const std::string &text)
{
    if (const auto endpoint = parseEndpoint(text))
        return *endpoint;
    return boost::leaf::new_error(
        CommandLineError{option + ": not an IP number and a port: " + text});
}

} // namespace Bluebellquay
