// Command line of a stand-in, over popt: long options with a value, and switches.
#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Bluebellquay {

// What is wrong with the command line, for example "--slots: not a number: x".
struct CommandLineError
{
    std::string message;
};

class CommandLine
{
public:
    explicit CommandLine(std::string program)
        : m_program(std::move(program))
    { }

    // The target keeps its value if the option is not given. It must outlive parse().
    void add(std::string name, std::string &target, std::string help);
    void add(std::string name, std::uint32_t &target, std::string help);
    void add(std::string name, std::uint64_t &target, std::string help);
    void add(std::string name, double &target, std::string help);
    void add(std::string name, bool &target, std::string help);

    // "--help" prints the options and ends the process. Errors: CommandLineError.
    boost::leaf::result<void> parse(int argc, const char **argv);

private:
    struct Option
    {
        std::string name;
        std::string help;
        bool takesValue;
        // Returns false if the text is not a valid value.
        std::function<bool(std::string_view)> set;
    };

    template <typename Number>
    void addNumber(std::string name, Number &target, std::string help);

    std::string m_program;
    std::vector<Option> m_options;
};

// Runs the body, prints its error if it has one, and returns the exit status.
int runProgram(const std::function<boost::leaf::result<void>()> &body);

} // namespace Bluebellquay
