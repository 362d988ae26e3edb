// Guards against ids that change when written as text and parsed again, and against accepting
// malformed ids.
#include "base/submissionid.h"

#include <catch2/catch.hpp>
#include <string>

using namespace Bluebellquay;

TEST_CASE("A submission id survives its text form", "[base]")
{
    const SubmissionId id(Incarnation(0x0123456789abcdefULL), IssuePeriod(0x89abcdefU),
                          Nonce(0xfedcba9876543210ULL));
    CHECK(id.toString() == "0123456789abcdef-89abcdef-fedcba9876543210");
    CHECK(SubmissionId::parse(id.toString()) == id);
}

TEST_CASE("Malformed submission ids are rejected", "[base]")
{
    const std::string valid = "0123456789abcdef-89abcdef-fedcba9876543210";
    REQUIRE(SubmissionId::parse(valid));
    for (std::size_t i = 0; i < valid.size(); ++i) {
        std::string broken = valid;
        broken[i] = 'G';
        CHECK_FALSE(SubmissionId::parse(broken));
        CHECK_FALSE(SubmissionId::parse(valid.substr(0, i)));
    }
    CHECK_FALSE(SubmissionId::parse(valid + "0"));
    CHECK_FALSE(SubmissionId::parse("0123456789ABCDEF-89abcdef-fedcba9876543210"));
}
