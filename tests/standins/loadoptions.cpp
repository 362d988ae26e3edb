#include "standins/loadoptions.h"

#include "standins/commandline.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <sstream>

namespace Bluebellquay {

namespace {

// Bounds of one run.
constexpr std::uint64_t MaxCount = 20'000'000;
constexpr double MaxSeconds = 86'400;
constexpr std::uint32_t MaxTasks = 700;

// Options that need a conversion.
struct RawOptions
{
    std::string entries;
    std::string kinds = "hinokuni/search=1";
    std::string teams = "load";
    double seconds = 60;
    double lingerSeconds = 60;
    double crestAtSeconds = 0;
    double crestSeconds = 0;
    std::uint32_t retryDelayMs = 100;
    std::uint32_t callTimeoutMs = 60'000;
};

boost::leaf::error_id failure(std::string message)
{
    return boost::leaf::new_error(CommandLineError{std::move(message)});
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        if (!part.empty())
            parts.push_back(part);
    return parts;
}

// "<branch>/<kind>=<weight>"
std::optional<WorkloadKind> parseKind(const std::string &text)
{
    const std::size_t slash = text.find('/');
    const std::size_t equals = text.rfind('=');
    if (slash == std::string::npos || equals == std::string::npos || equals < slash)
        return std::nullopt;
    WorkloadKind kind{text.substr(0, slash), text.substr(slash + 1, equals - slash - 1), 0};
    const char *const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + equals + 1, end, kind.weight);
    if (error != std::errc() || parsed != end || !(kind.weight > 0))
        return std::nullopt;
    return kind;
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void addRunOptions(CommandLine &commandLine, LoadCommand &command, RawOptions &raw)
{
    LoadOptions &options = command.options;
    commandLine.add("entries", raw.entries, "IP:port of caller listeners, by comma");
    commandLine.add("output", command.output, "file for one JSON line per submission");
    commandLine.add("closed", options.closedLoop, "closed loop instead of open loop");
    commandLine.add("rate", options.rate, "open loop: submissions per second (100)");
    commandLine.add("crest-factor", options.crestFactor, "factor of the rate during the crest (1)");
    commandLine.add("crest-at-s", raw.crestAtSeconds, "start of the crest (0)");
    commandLine.add("crest-s", raw.crestSeconds, "length of the crest (0)");
    commandLine.add("count", options.count, "send at most this many submissions (1000)");
    commandLine.add("seconds", raw.seconds, "send for at most this long (60)");
    commandLine.add("linger-s", raw.lingerSeconds, "wait this long for the last answers (60)");
    commandLine.add("connections", options.connections,
                    "connections to each entry; closed loop: callers at each entry (64)");
    commandLine.add("max-open", options.maxOpen, "open loop: open submissions at most (20000)");
    commandLine.add("max-attempts", options.maxAttempts, "calls for one submission (10)");
    commandLine.add("retry-delay-ms", raw.retryDelayMs, "time before a resubmission (100)");
    commandLine.add("call-timeout-ms", raw.callTimeoutMs, "time for one call (60000)");
    commandLine.add("reserve-batch", options.reserveBatch, "ids for each ReserveIds (100)");
    commandLine.add("deadline-ms", options.deadlineMs, "deadline of each submission; 0 for none");
}

void addWorkloadOptions(CommandLine &commandLine, WorkloadOptions &workload, RawOptions &raw)
{
    commandLine.add("seed", workload.seed, "seed of arrivals and submissions (1)");
    commandLine.add("kinds", raw.kinds, "branch/kind=weight, by comma (hinokuni/search=1)");
    commandLine.add("customer", workload.customer, "customer of each submission (load)");
    commandLine.add("teams", raw.teams, "teams to draw from, by comma (load)");
    commandLine.add("job-share", workload.jobShare, "share of submissions that are jobs (0)");
    commandLine.add("min-tasks", workload.minJobTasks, "fewest tasks of a job (10)");
    commandLine.add("max-tasks", workload.maxJobTasks, "most tasks of a job (700)");
    commandLine.add("min-run-ms", workload.minRunMs, "shortest usual run time (50)");
    commandLine.add("max-run-ms", workload.maxRunMs, "longest usual run time (1000)");
    commandLine.add("long-share", workload.longShare, "share of tasks that run longer (0.01)");
    commandLine.add("long-factor", workload.longFactor, "how many times longer (20)");
    commandLine.add("declared-error", workload.declaredError,
                    "factor by which declared run times may be wrong (4); 0 declares none");
}

boost::leaf::result<void> check(const LoadOptions &options, const RawOptions &raw)
{
    const WorkloadOptions &workload = options.workload;
    if (options.entries.empty())
        return failure("--entries: name at least one");
    if (workload.teams.empty())
        return failure("--teams: name at least one");
    if (options.count > MaxCount)
        return failure("--count: at most " + std::to_string(MaxCount));
    if (!(raw.seconds > 0 && raw.seconds <= MaxSeconds)
        || !(raw.lingerSeconds >= 0 && raw.lingerSeconds <= MaxSeconds))
        return failure("--seconds, --linger-s: at most 86400");
    if (!(options.rate > 0) || !(options.crestFactor > 0))
        return failure("--rate, --crest-factor: must be above 0");
    if (options.connections == 0 || options.reserveBatch == 0 || options.maxAttempts == 0)
        return failure("--connections, --reserve-batch, --max-attempts: must be above 0");
    if (workload.minJobTasks == 0 || workload.maxJobTasks < workload.minJobTasks
        || workload.maxJobTasks > MaxTasks)
        return failure("--min-tasks, --max-tasks: 1 to 700, in this order");
    if (!(workload.minRunMs >= 0) || !(workload.maxRunMs >= workload.minRunMs))
        return failure("--min-run-ms, --max-run-ms: 0 or more, in this order");
    return {};
}

} // namespace

boost::leaf::result<LoadCommand> parseLoadCommand(int argc, const char **argv)
{
    LoadCommand command;
    RawOptions raw;
    CommandLine commandLine("bluebellquay-load");
    addRunOptions(commandLine, command, raw);
    addWorkloadOptions(commandLine, command.options.workload, raw);
    BOOST_LEAF_CHECK(commandLine.parse(argc, argv));
    LoadOptions &options = command.options;
    options.entries = split(raw.entries, ',');
    options.workload.teams = split(raw.teams, ',');
    for (const std::string &text : split(raw.kinds, ',')) {
        const std::optional<WorkloadKind> kind = parseKind(text);
        if (!kind)
            return failure("--kinds: not branch/kind=weight: " + text);
        options.workload.kinds.push_back(*kind);
    }
    if (options.workload.kinds.empty())
        return failure("--kinds: name at least one");
    BOOST_LEAF_CHECK(check(options, raw));
    options.length = fromSeconds(raw.seconds);
    options.linger = fromSeconds(raw.lingerSeconds);
    options.crestStart = fromSeconds(raw.crestAtSeconds);
    options.crestLength = fromSeconds(raw.crestSeconds);
    options.retryDelay = std::chrono::milliseconds(raw.retryDelayMs);
    options.callTimeout = std::chrono::milliseconds(raw.callTimeoutMs);
    return command;
}

} // namespace Bluebellquay
