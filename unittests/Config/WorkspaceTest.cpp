#include "catkinwing/Config/Workspace.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static Workspace workspace(std::string name, const std::vector<std::string>& keys)
{
    Workspace workspace;
    workspace.name = std::move(name);
    for (const std::string& key : keys)
        workspace.keys.push_back(digestKey(key));
    return workspace;
}

TEST_CASE("each key of a workspace finds it, and no other text does")
{
    WorkspaceTable table({ workspace("fitters", { "k1", "k2" }), workspace("parents", { "k3" }) });
    REQUIRE(table.findByKey("k2"));
    CHECK(table.findByKey("k1")->name == "fitters");
    CHECK(table.findByKey("k2")->name == "fitters");
    CHECK(table.findByKey("k3")->name == "parents");
    for (const char* unknown : { "", "k", "k4", "K1", "k1 ", " k1", "k1,k3" })
        CHECK_FALSE(table.findByKey(unknown));
}

TEST_CASE("keys with control characters, spaces or too many bytes are not looked up")
{
    std::string longest(maxKeyBytes, 'x');
    WorkspaceTable table({ workspace("a", { longest, longest + "x", "a\tb", "a b" }) });
    CHECK(table.findByKey(longest));
    CHECK_FALSE(table.findByKey(longest + "x"));
    CHECK_FALSE(table.findByKey("a\tb"));
    CHECK_FALSE(table.findByKey("a b"));
    CHECK_FALSE(isWellFormedKey(absl::string_view("a\0b", 3)));
}

TEST_CASE("a workspace is found by its name and by the hash of its name")
{
    WorkspaceTable table({ workspace("a", {}), workspace("b", {}) });
    REQUIRE(table.findByName("b"));
    CHECK(table.findByName("b")->name == "b");
    CHECK(table.findByHash(workspaceHash("a"))->name == "a");
    CHECK_FALSE(table.findByName("c"));
    CHECK(WorkspaceTable().empty());
}

TEST_CASE("thousands of keys of hundreds of workspaces are told apart")
{
    std::vector<Workspace> workspaces;
    workspaces.reserve(330);
    for (int i = 0; i < 330; ++i) {
        std::vector<std::string> keys;
        keys.reserve(10);
        for (int k = 0; k < 10; ++k)
            keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(k));
        workspaces.push_back(workspace("w" + std::to_string(i), keys));
    }
    WorkspaceTable table(std::move(workspaces));
    for (int i = 0; i < 330; ++i) {
        const Workspace* found = table.findByKey("key-" + std::to_string(i) + "-7");
        REQUIRE(found);
        CHECK(found->name == "w" + std::to_string(i));
    }
}
