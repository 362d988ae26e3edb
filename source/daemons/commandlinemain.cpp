// main() of the program bluebellquay, the command line for operators and callers.
#include "cli/commandline.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    Bluebellquay::CommandLine commandLine(std::cin, std::cout, std::cerr);
    return static_cast<int>(commandLine.run(arguments));
}
