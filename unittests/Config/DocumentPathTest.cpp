#include "catkinwing/Config/DocumentPath.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("document paths are read and written alike")
{
    for (const char* text : { "global", "regions/caldas", "models/fitting", "teams/team-7" }) {
        auto path = parseDocumentPath(text);
        REQUIRE(path.ok());
        CHECK(path->toString() == text);
    }
}

TEST_CASE("unknown kinds and bad names are refused")
{
    std::string longName(64, 'a');
    for (const std::string& text : { std::string("teams"), std::string("teams/"), std::string("zones/a"), std::string("teams/A"), std::string("teams/a/b"), std::string("global/x"), "teams/" + longName })
        CHECK_FALSE(parseDocumentPath(text).ok());
}
