// Guards against an accepted configuration that reverts or a change that is misreported, over
// random interleavings of operators, restarts, lost answers and outages of the table.
#include "configsite.h"

#include <cstdlib>
#include <iostream>

using namespace Bluebellquay;

namespace {

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 0);
}

} // namespace

TEST_CASE("Accepted configurations never revert", "[entry][config]")
{
    const std::uint64_t first = numberFromEnvironment("BLUEBELLQUAY_SEED", 20261204);
    const std::uint64_t runs = numberFromEnvironment("BLUEBELLQUAY_RUNS", 100);
    std::cout << "BLUEBELLQUAY_SEED=" << first << " BLUEBELLQUAY_RUNS=" << runs << std::endl;
    std::size_t applied = 0;
    std::size_t restarts = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        ConfigSite site(seed);
        site.run();
        INFO("seed " << seed);
        for (const std::string &fault : site.faults())
            UNSCOPED_INFO(fault);
        CHECK(site.faults().empty());
        applied += site.appliedChanges();
        restarts += site.restarts();
    }
    // Ensures that the run contained changes to check.
    CHECK(applied > 5 * runs);
    CHECK(restarts > runs);
}
