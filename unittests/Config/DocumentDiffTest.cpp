#include "catkinwing/Config/DocumentDiff.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using nlohmann::json;

TEST_CASE("a diff names each change with its old and new value")
{
    json before = R"({ "share": 1, "gone": true, "keys": [{ "name": "a" }], "list": [1, 2, 3] })"_json;
    json after = R"({ "share": 2, "a/b": 0, "keys": [{ "name": "a" }, { "name": "b" }, { "name": "c" }], "list": [1] })"_json;
    json expected = R"([
        { "pointer": "/a~1b", "new": 0 },
        { "pointer": "/gone", "old": true },
        { "pointer": "/keys/1", "new": { "name": "b" } },
        { "pointer": "/keys/2", "new": { "name": "c" } },
        { "pointer": "/list/1", "old": 2 },
        { "pointer": "/list/2", "old": 3 },
        { "pointer": "/share", "old": 1, "new": 2 }
    ])"_json;
    auto changes = diffDocuments(before, after);
    std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) { return a.pointer < b.pointer; });
    CHECK(toJson(changes) == expected);
    CHECK(diffDocuments(before, before).empty());
    CHECK(toJson(diffDocuments(1, json::array())) == R"([{ "pointer": "", "old": 1, "new": [] }])"_json);
}
