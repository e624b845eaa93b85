#include "catkinwing/Routing/ResidencyFilter.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("a default residency allows no region")
{
    CHECK(allowsNoRegion(Residency()));
    CHECK_FALSE(isAllowed(Residency(), "caldas"));
    CHECK_FALSE(isAllowed(Residency(), ""));
}

TEST_CASE("regions are matched by their whole names")
{
    Residency residency = Residency::within({ "perth", "caldas", "perth" });
    CHECK(residency.regions.size() == 2);
    CHECK(isAllowed(residency, "caldas"));
    CHECK_FALSE(isAllowed(residency, "calda"));
    CHECK_FALSE(isAllowed(residency, "Caldas"));
    CHECK(isAllowed(Residency::unrestricted(), "anything"));
}

TEST_CASE("the stricter of two residencies is their intersection")
{
    Residency two = Residency::within({ "caldas", "valle" });
    Residency one = Residency::within({ "valle", "perth" });
    CHECK(stricterOf(two, one) == Residency::within({ "valle" }));
    CHECK(stricterOf(two, Residency::unrestricted()) == two);
    CHECK(stricterOf(Residency::unrestricted(), two) == two);
    CHECK(allowsNoRegion(stricterOf(two, Residency::within({ "perth" }))));
    CHECK(allowsNoRegion(stricterOf(Residency::unrestricted(), Residency())));
    CHECK(stricterOf(Residency::unrestricted(), Residency::unrestricted()).anywhere);
}

TEST_CASE("unsorted regions are intersected correctly")
{
    Residency unsorted;
    unsorted.regions = { "valle", "antioquia" };
    CHECK(stricterOf(unsorted, Residency::within({ "antioquia" })) == Residency::within({ "antioquia" }));
}
