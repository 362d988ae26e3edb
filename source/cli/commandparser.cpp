#include "cli/commandparser.h"

#include <popt.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>

namespace Bluebellquay {

namespace {

struct CommandRow
{
    std::string_view name;
    // Empty if the command takes no operand.
    std::string_view operand;
    bool operandRequired;
    bool forOperators;
    std::string_view summary;
};

constexpr std::array<CommandRow, 11> Commands{{
    {"reserve", "", false, false, "reserve submission ids"},
    {"submit", "FILE", false, false, "submit a job and wait for its answer"},
    {"await", "ID", true, false, "wait for the answer of a submission"},
    {"cancel", "ID", true, false, "cancel a submission"},
    {"status", "ID", true, false, "show the state of a submission"},
    {"drain", "AGENT", true, true, "take the upstream beside an agent out of service"},
    {"evacuate", "DATA_CENTRE", true, true, "start nothing more in a data centre"},
    {"take-back", "DATA_CENTRE", true, true, "end the evacuation of a data centre"},
    {"config check", "FILE", true, true, "validate a rules document"},
    {"config apply", "FILE", true, true, "put a rules document in force"},
    {"config show", "", false, true, "show the rules document in force"},
}};

// Values by which popt identifies the options of the command line.
enum OptionValue : int {
    HelpOption = 1,
    EntryOption,
    OperatorOption,
    SecretFileOption,
    TimeoutOption,
    OutputOption,
    CountOption,
    IdOption,
    DeadlineOption,
    DetachOption,
    ExpectedVersionOption,
};

constexpr unsigned ListedOnce = POPT_ARG_STRING;

constexpr poptOption option(const char *name, int value, const char *text, const char *argument)
{
    return {name,    '\0',  argument == nullptr ? unsigned(POPT_ARG_NONE) : ListedOnce,
            nullptr, value, text,
            argument};
}

constexpr poptOption Entry =
    option("entry", EntryOption, "entry to call; repeat it to name further ones", "IP:PORT");
constexpr poptOption Operator =
    option("operator", OperatorOption, "operator listener to call; repeat it to name further ones",
           "IP:PORT");
constexpr poptOption SecretFile =
    option("secret-file", SecretFileOption, "file with the operator secret", "FILE");
constexpr poptOption Timeout =
    option("timeout", TimeoutOption, "time for the whole command (default 60)", "SECONDS");
constexpr poptOption Output =
    option("output", OutputOption, "form of the output (default table)", "json|table");
constexpr poptOption Help = option("help", HelpOption, "show this text", nullptr);
constexpr poptOption Count = option("count", CountOption, "number of ids (default 1)", "NUMBER");
constexpr poptOption Id = option("id", IdOption, "id of an earlier attempt or reservation", "ID");
constexpr poptOption Deadline =
    option("deadline", DeadlineOption, "time within which the answer is useful", "MILLISECONDS");
constexpr poptOption Detach =
    option("detach", DetachOption, "return as soon as the submission is recorded", nullptr);
constexpr poptOption ExpectedVersion = option("expected-version", ExpectedVersionOption,
                                              "version that the document replaces", "NUMBER");

std::vector<poptOption> optionsOf(const CommandRow &command)
{
    std::vector<poptOption> options;
    if (command.forOperators) {
        options.push_back(Operator);
        options.push_back(SecretFile);
    } else {
        options.push_back(Entry);
    }
    if (command.name == "reserve")
        options.push_back(Count);
    if (command.name == "submit")
        options.insert(options.end(), {Id, Deadline, Detach});
    if (command.name == "config apply")
        options.push_back(ExpectedVersion);
    options.insert(options.end(), {Timeout, Output, Help, poptOption{}});
    return options;
}

const CommandRow *findCommand(std::string_view name)
{
    for (const CommandRow &row : Commands) {
        if (row.name == name)
            return &row;
    }
    return nullptr;
}

using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)>;

Context makeContext(const std::vector<const char *> &arguments,
                    const std::vector<poptOption> &options)
{
    return {poptGetContext("bluebellquay", static_cast<int>(arguments.size()),
                           const_cast<const char **>(arguments.data()), options.data(), 0),
            &poptFreeContext};
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const char *const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || position != end)
        return std::nullopt;
    return number;
}

std::optional<Duration> parseSeconds(std::string_view text)
{
    constexpr double MaxSeconds = 1e6;
    const auto seconds = parseNumber<double>(text);
    if (!seconds || !(*seconds > 0) || *seconds > MaxSeconds)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
}

template <typename Target, typename Value>
bool assign(Target &target, const std::optional<Value> &value)
{
    if (value)
        target = *value;
    return value.has_value();
}

// Returns false if the value of the option is not valid.
bool setOption(CommandOptions &options, int option, const std::string &value)
{
    switch (option) {
    case HelpOption:
        options.help = true;
        return true;
    case EntryOption:
        options.entries.push_back(value);
        return true;
    case OperatorOption:
        options.operators.push_back(value);
        return true;
    case SecretFileOption:
        options.secretFile = value;
        return true;
    case TimeoutOption:
        return assign(options.timeout, parseSeconds(value));
    case OutputOption:
        options.output = value == "json" ? OutputForm::Json : OutputForm::Table;
        return value == "json" || value == "table";
    case CountOption:
        return assign(options.count, parseNumber<std::uint32_t>(value)) && options.count > 0;
    case IdOption:
        options.id = value;
        return true;
    case DeadlineOption:
        return assign(options.deadlineMs, parseNumber<std::uint32_t>(value));
    case DetachOption:
        options.detach = true;
        return true;
    default:
        return assign(options.expectedVersion, parseNumber<std::uint64_t>(value));
    }
}

std::string helpHint(const CommandRow &command)
{
    return "see \"bluebellquay " + std::string(command.name) + " --help\"";
}

boost::leaf::result<void> checkOptions(const CommandRow &command, const CommandOptions &options)
{
    if (command.forOperators && options.operators.empty())
        return boost::leaf::new_error(UsageError{"no operator address", "add --operator IP:PORT"});
    if (command.forOperators && options.secretFile.empty())
        return boost::leaf::new_error(UsageError{"no operator secret", "add --secret-file FILE"});
    if (!command.forOperators && options.entries.empty())
        return boost::leaf::new_error(UsageError{"no entry address", "add --entry IP:PORT"});
    if (command.operandRequired && options.operand.empty())
        return boost::leaf::new_error(
            UsageError{std::string(command.operand) + " is missing", helpHint(command)});
    if (command.name == "config apply" && !options.expectedVersion)
        return boost::leaf::new_error(
            UsageError{"no expected version",
                       "add --expected-version with the version that the document was edited "
                       "from (\"config show\" names it; 0 if there is none)"});
    return {};
}

boost::leaf::result<CommandOptions> parseOptions(const CommandRow &command,
                                                 const std::vector<const char *> &arguments)
{
    CommandOptions options;
    options.command = command.name;
    const std::vector<poptOption> table = optionsOf(command);
    const Context context = makeContext(arguments, table);
    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, void (*)(void *)> text(poptGetOptArg(context.get()),
                                                           &std::free);
        const std::string argument = text ? text.get() : "";
        if (!setOption(options, value, argument))
            return boost::leaf::new_error(
                UsageError{"bad value \"" + argument + "\"", helpHint(command)});
    }
    if (value < -1)
        return boost::leaf::new_error(
            UsageError{std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(value),
                       helpHint(command)});
    if (options.help)
        return options;
    if (const char *operand = command.operand.empty() ? nullptr : poptGetArg(context.get()))
        options.operand = operand;
    if (const char *surplus = poptGetArg(context.get()))
        return boost::leaf::new_error(
            UsageError{"unexpected operand \"" + std::string(surplus) + "\"", helpHint(command)});
    BOOST_LEAF_CHECK(checkOptions(command, options));
    return options;
}

} // namespace

boost::leaf::result<CommandOptions> parseCommand(const std::vector<std::string> &arguments)
{
    CommandOptions help;
    help.help = true;
    if (arguments.empty())
        return boost::leaf::new_error(UsageError{"no command", "see \"bluebellquay --help\""});
    if (arguments.front() == "--help")
        return help;
    std::string name = arguments.front();
    std::size_t words = 1;
    if (name == "config" && arguments.size() > 1) {
        if (arguments[1] == "--help")
            return help;
        name += " " + arguments[1];
        words = 2;
    }
    const CommandRow *command = findCommand(name);
    if (command == nullptr)
        return boost::leaf::new_error(
            UsageError{"unknown command \"" + name + "\"", "see \"bluebellquay --help\""});
    // popt takes the first argument for the program name.
    std::vector<const char *> rest{"bluebellquay"};
    for (std::size_t i = words; i < arguments.size(); ++i)
        rest.push_back(arguments[i].c_str());
    return parseOptions(*command, rest);
}

std::string commandHelp(std::string_view command)
{
    const CommandRow *found = findCommand(command);
    if (found == nullptr) {
        std::string text = "Usage: bluebellquay COMMAND [OPTION...]\n\nCommands:\n";
        for (const CommandRow &row : Commands) {
            std::string line = "  " + std::string(row.name);
            line.resize(18, ' ');
            text += line + std::string(row.summary) + "\n";
        }
        return text + "\n\"bluebellquay COMMAND --help\" shows the options of a command.\n";
    }
    const std::vector<poptOption> table = optionsOf(*found);
    // popt keeps the pointer to its arguments.
    const std::vector<const char *> arguments{"bluebellquay"};
    const Context context = makeContext(arguments, table);
    const std::string usage =
        std::string(found->name) + " [OPTION...] " + std::string(found->operand);
    poptSetOtherOptionHelp(context.get(), usage.c_str());
    char *buffer = nullptr;
    std::size_t size = 0;
    // popt writes its help to a stream only.
    std::FILE *stream = open_memstream(&buffer, &size);
    if (stream == nullptr)
        return {};
    poptPrintHelp(context.get(), stream, 0);
    std::fclose(stream);
    const std::unique_ptr<char, void (*)(void *)> owner(buffer, &std::free);
    return std::string(buffer, size) + "\n" + std::string(found->summary) + "\n";
}

} // namespace Bluebellquay
