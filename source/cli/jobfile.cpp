#include "cli/jobfile.h"

#include "cli/jsonlocator.h"
#include "net/connectmessage.h"

#include "bluebellquay/v1/hinokuni.pb.h"
#include "bluebellquay/v1/maras.pb.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>

namespace Bluebellquay {

namespace {

using bluebellquay::v1::Job;

// Size limit of a request body at an entry (8 MiB), less 4096 bytes for its other fields.
constexpr std::size_t MaxJobBytes = (8UL << 20) - 4096;

constexpr std::string_view JobRemedy = "correct it; help/submit.md shows the JSON form of a job";

// The JSON form of an Any needs the type that it names. A static library is linked without the code
// of a schema that nothing refers to, so the types of all branches are referred to here.
void linkBranchTypes()
{
    google::protobuf::LinkMessageReflection<hinokuni::v1::Exceptions>();
    google::protobuf::LinkMessageReflection<maras::v1::Exceptions>();
}

std::string displayName(const std::string &file)
{
    return file.empty() || file == "-" ? "standard input" : file;
}

// Extracts the place from an error message of the JSON conversion. The place stands before the
// text, the parent in parentheses: for example
// "(tasks[0].declared_run_ms): invalid value ...", "(need) memory: Cannot find field." or
// "kindd: Cannot find field.". Empty if it names none.
std::string placeOf(std::string_view message)
{
    std::string place;
    if (message.starts_with('(')) {
        const std::size_t close = std::min(message.find(')'), message.size() - 1);
        place = message.substr(1, close - 1);
        message.remove_prefix(close + 1);
    }
    const std::size_t colon = message.find(": Cannot find field.");
    if (colon == std::string_view::npos)
        return place;
    const std::string_view name = message.substr(0, colon);
    if (place.empty())
        return std::string(name);
    return place + "." + std::string(name.substr(name.find_first_not_of(' ')));
}

Finding conversionFinding(const std::string &message, const JsonLocator &locator,
                          const std::string &file)
{
    // The message begins with the name of the message type.
    const std::string_view text = message;
    const std::string place = placeOf(text.substr(std::min(text.find(": ") + 2, text.size())));
    return {file, locator.lineOf(place), place, message, std::string(JobRemedy)};
}

void require(bool present, const char *place, const char *remedy, const std::string &file,
             Findings &findings)
{
    if (!present)
        findings.push_back({file, 1, place, "is missing", remedy});
}

Findings check(const Job &job, const std::string &file)
{
    Findings findings;
    require(!job.branch().empty(), "branch", "add the name of the branch", file, findings);
    require(!job.kind().empty(), "kind", "add a kind that the branch rules name", file, findings);
    require(job.tasks_size() > 0, "tasks", "add at least one task", file, findings);
    if (job.ByteSizeLong() > MaxJobBytes)
        findings.push_back({file, 1, "tasks",
                            "the job is larger than " + std::to_string(MaxJobBytes) + " bytes",
                            "divide it into several jobs"});
    return findings;
}

boost::leaf::result<std::string> readStream(std::istream &stream, const std::string &file)
{
    std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (stream.bad())
        return boost::leaf::new_error(
            Findings{{displayName(file), 0, "", "can't be read", "check the file"}});
    return text;
}

} // namespace

boost::leaf::result<std::string> readInput(const std::string &file, std::istream &input)
{
    if (file.empty() || file == "-")
        return readStream(input, file);
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return boost::leaf::new_error(
            Findings{{file, 0, "", std::string("can't be opened: ") + std::strerror(errno),
                      "check the name and the permissions"}});
    return readStream(stream, file);
}

boost::leaf::result<std::string> readSecret(const std::string &file)
{
    std::ifstream none;
    BOOST_LEAF_AUTO(secret, readInput(file, none));
    secret.erase(secret.find_last_not_of(" \t\r\n") + 1);
    if (secret.empty() || secret.find_first_of("\r\n") != std::string::npos)
        return boost::leaf::new_error(
            Findings{{file, 1, "", "is not one line with a secret", "write the secret into it"}});
    return secret;
}

boost::leaf::result<Job> parseJob(const std::string &text, const std::string &file)
{
    linkBranchTypes();
    const std::string name = displayName(file);
    JsonLocator locator;
    if (const auto error = locator.read(text))
        return boost::leaf::new_error(
            Findings{{name, error->line, "", error->message, "correct the JSON syntax"}});
    Job job;
    if (const auto message = decodeConnectBody(text, ConnectEncoding::Json, job))
        return boost::leaf::new_error(Findings{conversionFinding(*message, locator, name)});
    Findings findings = check(job, name);
    if (!findings.empty())
        return boost::leaf::new_error(std::move(findings));
    return job;
}

} // namespace Bluebellquay
