#include "standins/commandline.h"

#include "net/connectclient.h"
#include "net/connectserver.h"

#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <type_traits>

namespace Bluebellquay {

namespace {

struct ContextDeleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

boost::leaf::error_id failure(std::string message)
{
    return boost::leaf::new_error(CommandLineError{std::move(message)});
}

} // namespace

void CommandLine::add(std::string name, std::string &target, std::string help)
{
    m_options.push_back({std::move(name), std::move(help), true, [&target](std::string_view text) {
                             target = text;
                             return true;
                         }});
}

template <typename Number>
void CommandLine::addNumber(std::string name, Number &target, std::string help)
{
    m_options.push_back({std::move(name), std::move(help), true, [&target](std::string_view text) {
                             const char *const end = text.data() + text.size();
                             const auto [parsed, error] = std::from_chars(text.data(), end, target);
                             return error == std::errc() && parsed == end;
                         }});
}

void CommandLine::add(std::string name, std::uint32_t &target, std::string help)
{
    addNumber(std::move(name), target, std::move(help));
}

void CommandLine::add(std::string name, std::uint64_t &target, std::string help)
{
    addNumber(std::move(name), target, std::move(help));
}

void CommandLine::add(std::string name, double &target, std::string help)
{
    addNumber(std::move(name), target, std::move(help));
}

void CommandLine::add(std::string name, bool &target, std::string help)
{
    m_options.push_back({std::move(name), std::move(help), false, [&target](std::string_view) {
                             target = true;
                             return true;
                         }});
}

boost::leaf::result<void> CommandLine::parse(int argc, const char **argv)
{
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < m_options.size(); ++i) {
        const Option &option = m_options[i];
        table.push_back({option.name.c_str(), '\0',
                         static_cast<unsigned>(option.takesValue ? POPT_ARG_STRING : POPT_ARG_NONE),
                         nullptr, static_cast<int>(i + 1), option.help.c_str(),
                         option.takesValue ? "VALUE" : nullptr});
    }
    const std::vector<poptOption> ending = {POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), ending.begin(), ending.end());
    const Context context(poptGetContext(m_program.c_str(), argc, argv, table.data(), 0));
    int next = 0;
    while ((next = poptGetNextOpt(context.get())) > 0) {
        const Option &option = m_options[static_cast<std::size_t>(next - 1)];
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                                &std::free);
        const std::string text = value ? value.get() : "";
        if (!option.set(text))
            return failure("--" + option.name + ": not a valid value: " + text);
    }
    if (next < -1)
        return failure(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(next));
    if (const char *rest = poptGetArg(context.get()))
        return failure(std::string("unexpected argument: ") + rest);
    return {};
}

int runProgram(const std::function<boost::leaf::result<void>()> &body)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(body());
            return EXIT_SUCCESS;
        },
        [](const CommandLineError &error) {
            std::cerr << error.message << '\n';
            return EXIT_FAILURE;
        },
        [](const ListenError &error) {
            std::cerr << "can't listen on " << error.endpoint << ": " << error.reason << '\n';
            return EXIT_FAILURE;
        },
        [](const AddressError &error) {
            std::cerr << "not an IP number and a port: " << error.address << '\n';
            return EXIT_FAILURE;
        },
        [](const boost::leaf::error_info &) {
            std::cerr << "unexpected error\n";
            return EXIT_FAILURE;
        });
}

} // namespace Bluebellquay
