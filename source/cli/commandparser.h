// Parses the command line with popt.
#pragma once

#include "cli/commandoptions.h"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// Parses the arguments, which don't include the program name. Fails with UsageError.
boost::leaf::result<CommandOptions> parseCommand(const std::vector<std::string> &arguments);

// Returns the help text of a command, or of the program if the command is empty or unknown.
std::string commandHelp(std::string_view command);

} // namespace Bluebellquay
