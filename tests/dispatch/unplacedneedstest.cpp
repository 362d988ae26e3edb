// Guards against tasks that are skipped although a worker may have room for them.
#include "core/unplacedneeds.h"

#include <catch2/catch.hpp>

using namespace Bluebellquay;

TEST_CASE("only needs as large as one without a place are ruled out, by service")
{
    const std::string archive = "archive";
    const std::string ledger = "ledger";
    UnplacedNeeds needs;
    needs.add(archive, {6'000, 64'000'000, 0});

    CHECK(needs.cannotPlace(archive, {6'000, 64'000'000, 0}));
    CHECK(needs.cannotPlace(archive, {7'000, 65'000'000, 1}));
    CHECK_FALSE(needs.cannotPlace(archive, {5'999, 64'000'000, 0}));
    CHECK_FALSE(needs.cannotPlace(archive, {6'000, 63'000'000, 0}));
    CHECK_FALSE(needs.cannotPlace(ledger, {6'000, 64'000'000, 0}));
}
