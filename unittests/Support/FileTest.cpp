#include "catkinwing/Support/File.h"

#include "catkinwing/Support/Id.h"
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace catkinwing;

TEST_CASE("a file is read whole, and one that is not there is named")
{
    Random random = Random::fromSystem();
    std::string name = std::filesystem::temp_directory_path() / makeId(random);
    CHECK(absl::IsNotFound(readFile(name).status()));
    CHECK(std::string(readFile(name).status().message()).find(name) != std::string::npos);
    std::ofstream(name) << "one\ntwo";
    CHECK(*readFile(name) == "one\ntwo");
    std::ofstream(name, std::ios::trunc).close();
    CHECK(readFile(name)->empty());
    std::filesystem::remove(name);
}
