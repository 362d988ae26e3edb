// Guards against bad command lines and job files that are sent anyway, or rejected without saying
// where the mistake is and what to do.
#include "cli/commandline.h"
#include "cli/commandparser.h"
#include "cli/evacuationedit.h"
#include "cli/jobfile.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

using namespace Bluebellquay;
using Catch::Contains;

namespace {

Findings findingsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Findings> {
            BOOST_LEAF_CHECK(parseJob(text, "job.json"));
            return Findings();
        },
        [](const Findings &findings) { return findings; }, [] { return Findings(); });
}

} // namespace

TEST_CASE("Bad command lines are usage errors with a remedy", "[cli]")
{
    const std::vector<std::string> lines[] = {
        {},
        {"unknown"},
        {"config"},
        {"config", "remove"},
        {"submit"},
        {"submit", "--entry"},
        {"submit", "--entry", "nowhere"},
        {"submit", "--entry", "127.0.0.1:1", "--bad"},
        {"submit", "--entry", "127.0.0.1:1", "--timeout", "0"},
        {"submit", "--entry", "127.0.0.1:1", "--timeout", "nan"},
        {"submit", "--entry", "127.0.0.1:1", "--output", "xml"},
        {"submit", "--entry", "127.0.0.1:1", "/nonexistent/job.json"},
        {"submit", "--entry", "127.0.0.1:1", "a", "b"},
        {"reserve", "--entry", "127.0.0.1:1", "--count", "0"},
        {"status", "--entry", "127.0.0.1:1"},
        {"status", "--entry", "127.0.0.1:1", "--detach", "id"},
        {"drain", "--operator", "127.0.0.1:1", "agent"},
        {"drain", "--operator", "127.0.0.1:1", "--secret-file", "/nonexistent", "agent"},
        {"config", "apply", "--operator", "127.0.0.1:1", "--secret-file", "s", "f"},
    };
    for (const auto &line : lines) {
        std::istringstream in(R"({"branch":"a","kind":"b","tasks":[{}]})");
        std::ostringstream out;
        std::ostringstream errors;
        CAPTURE(line);
        CHECK(CommandLine(in, out, errors).run(line) == ExitCode::Usage);
        CHECK_THAT(errors.str(), Contains("; "));
        CHECK(out.str().empty());
    }
}

TEST_CASE("Findings of a job name file, line, place and remedy", "[cli]")
{
    struct Case
    {
        const char *text;
        std::uint32_t line;
        const char *place;
    };
    const Case cases[] = {
        {"{\n\"branch\": \"a\",\n\"kind\": }", 3, ""},
        {"{\n\"branch\": \"a\",\n\n\"kindd\": \"b\"}", 4, "kindd"},
        {"{\n\"tasks\": [\n{\"declaredRunMs\": 1},\n{\n\"declaredRunMs\": \"x\"}]}", 5,
         "tasks[1].declared_run_ms"},
        {"{\n\"tasks\": [{},\n{\"payload\": \"*\"}]}", 3, "tasks[1].payload"},
        {"{\n\"need\": {\n\"memory\": 1}}", 3, "need.memory"},
        {"", 1, ""},
        {"[]", 1, ""},
    };
    for (const Case &expected : cases) {
        CAPTURE(expected.text);
        const Findings findings = findingsOf(expected.text);
        REQUIRE(findings.size() == 1);
        CAPTURE(findings[0].message);
        CHECK(findings[0].file == "job.json");
        CHECK(findings[0].line == expected.line);
        CHECK(findings[0].place == expected.place);
        CHECK_FALSE(findings[0].remedy.empty());
    }
    CHECK(findingsOf("{}").size() == 3);
    CHECK(findingsOf(R"({"branch":"a","kind":"b","tasks":[{}]})").empty());
}

TEST_CASE("Each command has help text and a help page that names its options", "[cli]")
{
    for (std::string command : {"reserve", "submit", "await", "cancel", "status", "drain",
                                "config check", "config apply", "config show"}) {
        CAPTURE(command);
        std::istringstream words(commandHelp(command));
        std::string page = command;
        std::replace(page.begin(), page.end(), ' ', '-');
        std::ifstream stream("help/" + page + ".md");
        const std::string text{std::istreambuf_iterator<char>(stream),
                               std::istreambuf_iterator<char>()};
        int options = 0;
        for (std::string word; words >> word;) {
            if (!word.starts_with("--"))
                continue;
            CHECK_THAT(text, Contains("`" + word.substr(0, word.find('='))));
            ++options;
        }
        CHECK(options >= 4);
    }
}

// Guards against an executable that lacks the types of the branches' exceptions, which a static
// library leaves out unless something refers to them.
TEST_CASE("A job with exceptions of either branch is read", "[cli]")
{
    for (const std::string type : {"hinokuni.v1.Exceptions", "maras.v1.Exceptions"}) {
        const std::string text = R"({"branch":"b","kind":"k","tasks":[{"payload":""}],)"
                                 R"("exceptions":{"@type":"type.googleapis.com/)"
            + type + R"("}})";
        CHECK(boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_AUTO(job, parseJob(text, "job.json"));
                return job.has_exceptions();
            },
            [](const Findings &findings) {
                UNSCOPED_INFO(toString(findings));
                return false;
            },
            [] { return false; }));
    }
}

TEST_CASE("The list of evacuated data centres is edited, the rest of the document stays")
{
    const std::string rules = "# für alle\n[branch.b]\n";
    const auto first = editEvacuation(rules, "kumamoto", true);
    REQUIRE(first);
    CHECK(*first == "evacuated = [\"kumamoto\"]\n" + rules);
    const auto second = editEvacuation(*first, "fukuoka", true);
    CHECK(second == "evacuated = [\"fukuoka\", \"kumamoto\"]\n" + rules);
    CHECK(editEvacuation(*second, "kumamoto", false) == "evacuated = [\"fukuoka\"]\n" + rules);
    CHECK(editEvacuation("a = 'é'\nevacuated = [ 'x', # é\n ] # end\nb = 1\n", "x", false)
          == "a = 'é'\nevacuated = [] # end\nb = 1\n");
    CHECK_FALSE(editEvacuation("evacuated = 3", "x", true));
    CHECK_FALSE(editEvacuation("[", "x", true));
}
