// Guards against an option that is taken for another value, which would falsify a measurement.
#include "standins/commandline.h"
#include "standins/loadoptions.h"

#include <catch2/catch.hpp>

#include <iterator>

using namespace Bluebellquay;

namespace {

// Empty if the command line is accepted.
std::string errorOf(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "bluebellquay-load");
    std::string message;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(
                parseLoadCommand(static_cast<int>(arguments.size()), arguments.data()));
            return {};
        },
        [&](const CommandLineError &error) { message = error.message; },
        [&] { message = "unexpected error"; });
    return message;
}

} // namespace

TEST_CASE("The load generator's options are read", "[standins]")
{
    const char *arguments[] = {
        "bluebellquay-load", "--entries=127.0.0.1:1,127.0.0.1:2",
        "--rate=12.5",       "--seconds=0.5",
        "--closed",          "--kinds=maras/close_pan=1,hinokuni/search=2.5"};
    const LoadCommand command =
        parseLoadCommand(static_cast<int>(std::size(arguments)), arguments).value();
    CHECK(command.options.entries == std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"});
    CHECK(command.options.rate == 12.5);
    CHECK(command.options.length == std::chrono::milliseconds(500));
    CHECK(command.options.closedLoop);
    REQUIRE(command.options.workload.kinds.size() == 2);
    CHECK(command.options.workload.kinds[1].kind == "search");
    CHECK(command.options.workload.kinds[1].weight == 2.5);
}

TEST_CASE("Wrong options are rejected", "[standins]")
{
    const char *entries = "--entries=127.0.0.1:1";
    CHECK(errorOf({entries}).empty());
    CHECK_FALSE(errorOf({}).empty());
    for (const char *wrong :
         {"--unknown", "extra", "--count=12x", "--count=-1", "--rate=0", "--rate=nan",
          "--kinds=search=1", "--kinds=a/b=0", "--max-tasks=701", "--connections=0"}) {
        INFO(wrong);
        CHECK_FALSE(errorOf({entries, wrong}).empty());
    }
}
