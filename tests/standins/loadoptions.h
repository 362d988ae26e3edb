// Command line of the load generator.
#pragma once

#include "standins/loadgenerator.h"

#include <string>

namespace Bluebellquay {

struct LoadCommand
{
    LoadOptions options;
    // File for one JSON line per submission; empty for none.
    std::string output;
};

// Errors: CommandLineError.
boost::leaf::result<LoadCommand> parseLoadCommand(int argc, const char **argv);

} // namespace Bluebellquay
