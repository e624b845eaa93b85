#include "catkinwing/Config/ConfigFolder.h"
#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Config/References.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace catkinwing;
namespace fs = std::filesystem;

static std::string readFile(const fs::path& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

static void writeFile(const fs::path& path, const std::string& text)
{
    fs::create_directories(path.parent_path());
    std::ofstream(path) << text;
}

/// What the brief says of a deployment.
struct ExpectedDeployment {
    const char* name;
    int engines;
    int services;
    const char* key;
};

TEST_CASE("the examples are valid, resolved and of the brief's sizes")
{
    auto expected = GENERATE(ExpectedDeployment { "manizales", 12, 3, "manizales-fitters-key" }, ExpectedDeployment { "swan-river", 9, 3, "swan-river-brokers-key" });
    fs::path root = fs::path(CATKINWING_SOURCE_DIR) / "examples" / expected.name;
    LoadedTree tree = loadTree(root / "config");
    REQUIRE(tree.ok());
    CHECK(findUnresolvedReferences(*tree.snapshot).empty());
    CHECK(tree.snapshot->regions.size() == 3);
    CHECK(findCallerKey(*tree.snapshot, digestKey(expected.key)).team != nullptr);

    std::set<std::string> addresses;
    int kinds[2] = {};
    for (const auto& [name, region] : tree.snapshot->regions) {
        CHECK(region->document.links.size() == 2);
        for (const EndpointSettings& endpoint : region->document.endpoints) {
            ++kinds[endpoint.kind == EndpointKind::Service];
            CHECK(addresses.insert(endpoint.address.toString()).second);
        }
    }
    CHECK(kinds[0] == expected.engines);
    CHECK(kinds[1] == expected.services);

    std::set<std::string> zones;
    for (const auto& file : fs::directory_iterator(root / "entries")) {
        auto settings = parseDaemonSettings(readFile(file.path()));
        REQUIRE(settings.ok());
        CHECK(settings.document->name == file.path().stem());
        CHECK(findUnresolvedReferences(*settings.document, *tree.snapshot).empty());
        CHECK(settings.document->peerSeeds.size() == 7);
        for (const SocketAddress& address : { settings.document->listen.callers, settings.document->listen.peers, settings.document->listen.operators })
            CHECK(addresses.insert(address.toString()).second);
        zones.insert(settings.document->availabilityZone);
    }
    CHECK(zones.size() == 6);
    constexpr std::size_t listenerCount = 21;
    CHECK(addresses.size() == static_cast<std::size_t>(expected.engines + expected.services) + listenerCount);
}

TEST_CASE("faults of a folder are reported by file")
{
    fs::path root = fs::temp_directory_path() / ("catkinwing-config-" + std::to_string(::getpid()));
    fs::remove_all(root);
    writeFile(root / "global.json", "{}");
    writeFile(root / "teams/a.json", R"({ "share": 1 })");
    writeFile(root / "teams/B.json", "{}");
    writeFile(root / "teams/.hidden", "");
    writeFile(root / "notes.txt", "");
    LoadedTree tree = loadTree(root);
    LoadedTree missing = loadTree(root / "none");
    fs::remove_all(root);
    REQUIRE(tree.documents.size() == 1);
    CHECK(tree.documents[0].path == DocumentPath {});
    std::vector<std::string> files;
    for (const FileFaults& file : tree.faults)
        files.push_back(file.file);
    CHECK(files == std::vector<std::string> { "notes.txt", "teams/B.json", "teams/a.json" });
    CHECK(tree.faults[2].faults.size() == 2);
    CHECK(missing.faults.size() == 1);
}

TEST_CASE("references that lead nowhere are warnings")
{
    fs::path root = fs::path(CATKINWING_SOURCE_DIR) / "examples/manizales/config";
    ConfigSnapshot snapshot = *loadTree(root).snapshot;
    snapshot.models.clear();
    snapshot.regions.erase("caldas");
    std::set<std::string> warnings;
    for (const ConfigWarning& warning : findUnresolvedReferences(snapshot))
        warnings.insert(warning.path.toString() + warning.pointer);
    for (const char* expected : { "regions/antioquia/links/0/to", "regions/antioquia/endpoints/0/models/0", "regions/antioquia/endpoints/0/adapters/1", "teams/fitters/models/0", "teams/fitters/adapters/0", "teams/health-posts/residency/regions/0" })
        CHECK(warnings.count(expected) == 1);
    DaemonSettings settings;
    settings.region = "caldas";
    CHECK(findUnresolvedReferences(settings, snapshot).at(0).pointer == "/region");
    settings.region = "valle";
    settings.availabilityZone = "valle-c";
    CHECK(findUnresolvedReferences(settings, snapshot).at(0).pointer == "/availabilityZone");
}
