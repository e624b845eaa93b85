// Measures what a change of configuration costs an entry at the size that the
// project is built toward. Prints one JSON object.

#include "catkinwing/Config/JsonText.h"
#include "catkinwing/Config/RevisionedTree.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace catkinwing;
using nlohmann::json;

namespace {

constexpr int teamCount = 330;
constexpr int modelCount = 4;
constexpr int regionCount = 22;
constexpr int endpointsPerRegion = 546;
constexpr int zonesPerRegion = 3;
constexpr int changeCount = 2000;

json teamDocument(int team, int round)
{
    json keys = json::array();
    for (int key = 0; key < 4; ++key)
        keys.push_back({ { "name", absl::StrCat("key-", key) }, { "sha256", sha256Hex(absl::StrCat(team, "/", key)) } });
    json question { { "name", "question" }, { "timeout", "8s" }, { "priority", 5 }, { "shortRequest", true }, { "targets", { { "timeToFirstToken", "800ms" } } } };
    json review { { "name", "review" }, { "timeout", "5m" }, { "expectedOutputTokens", 900 }, { "maximumSlotFraction", 0.5 } };
    return { { "share", 1 + round % 7 }, { "keys", keys }, { "models", { "model-0" } }, { "classes", { question, review } }, { "defaultClass", "question" },
        { "limits", { { "maximumInFlight", 96 } } } };
}

json regionDocument(int region)
{
    json zones = json::array();
    for (int zone = 0; zone < zonesPerRegion; ++zone)
        zones.push_back({ { "name", absl::StrCat("zone-", zone) } });
    json endpoints = json::array();
    for (int i = 0; i < endpointsPerRegion; ++i) {
        endpoints.push_back({ { "name", absl::StrCat("engine-", i) }, { "availabilityZone", absl::StrCat("zone-", i % zonesPerRegion) },
            { "address", absl::StrCat("10.", region, ".", i / 250, ".", i % 250, ":8000") }, { "kind", "engine" }, { "models", { "model-0" } }, { "slots", 8 },
            { "prefillTokensPerSecond", 12000 }, { "decodeTokensPerSecond", 900 }, { "cacheTokens", 400000 }, { "idempotent", true },
            { "capabilities", { { "priority", true }, { "cancel", true }, { "resume", true }, { "cacheEvents", true } } } });
    }
    return { { "availabilityZones", zones }, { "endpoints", endpoints } };
}

TreeEntry entryOf(DocumentKind kind, const std::string& name, Revision revision, const json& document)
{
    return { { kind, name }, revision, std::make_shared<std::string>(document.dump()) };
}

std::vector<TreeEntry> makeTeams(Revision revision)
{
    std::vector<TreeEntry> entries;
    entries.reserve(teamCount);
    for (int team = 0; team < teamCount; ++team)
        entries.push_back(entryOf(DocumentKind::Team, absl::StrCat("team-", team), revision, teamDocument(team, 0)));
    return entries;
}

std::vector<TreeEntry> makeRegions(Revision revision)
{
    std::vector<TreeEntry> entries;
    entries.reserve(regionCount);
    for (int region = 0; region < regionCount; ++region)
        entries.push_back(entryOf(DocumentKind::Region, absl::StrCat("region-", region), revision, regionDocument(region)));
    return entries;
}

std::vector<TreeEntry> makeModels(Revision revision)
{
    std::vector<TreeEntry> entries;
    entries.reserve(modelCount);
    for (int model = 0; model < modelCount; ++model)
        entries.push_back(entryOf(DocumentKind::Model, absl::StrCat("model-", model), revision, { { "versions", { "1" } }, { "sizeMegabytes", 16000 } }));
    return entries;
}

using Microseconds = std::chrono::duration<double, std::micro>;

template <typename Work>
double measureMicroseconds(Work work)
{
    auto start = std::chrono::steady_clock::now();
    work();
    return Microseconds(std::chrono::steady_clock::now() - start).count();
}

std::size_t heapBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Offers the entries and reports their cost for each.
json measureLoad(RevisionedTree& tree, const std::vector<TreeEntry>& entries)
{
    std::size_t heapBefore = heapBytes();
    std::size_t textBytes = 0;
    double total = measureMicroseconds([&] {
        for (const TreeEntry& entry : entries)
            tree.offer(entry);
    });
    for (const TreeEntry& entry : entries)
        textBytes += entry.text->size();
    auto count = static_cast<double>(entries.size());
    return { { "documents", entries.size() }, { "microseconds_each", total / count }, { "text_bytes_each", static_cast<double>(textBytes) / count },
        { "parsed_bytes_each", static_cast<double>(heapBytes() - heapBefore) / count } };
}

/// Changes one team after another, with the snapshot taken after each change.
json measureChanges(RevisionedTree& tree)
{
    std::vector<double> offers;
    std::vector<double> snapshots;
    for (int change = 0; change < changeCount; ++change) {
        int team = change % teamCount;
        TreeEntry entry = entryOf(DocumentKind::Team, absl::StrCat("team-", team), 100 + change, teamDocument(team, change));
        offers.push_back(measureMicroseconds([&] { tree.offer(entry); }));
        snapshots.push_back(measureMicroseconds([&] { tree.snapshot(); }));
    }
    std::sort(offers.begin(), offers.end());
    std::sort(snapshots.begin(), snapshots.end());
    auto percentile = [](const std::vector<double>& sorted, double rank) { return sorted[static_cast<std::size_t>(rank * static_cast<double>(sorted.size() - 1))]; };
    return { { "offer_p50_us", percentile(offers, 0.5) }, { "offer_p99_us", percentile(offers, 0.99) }, { "snapshot_p50_us", percentile(snapshots, 0.5) },
        { "snapshot_p99_us", percentile(snapshots, 0.99) } };
}

/// Returns a list with \p count times the same item.
std::string listOf(const std::string& item, std::size_t count)
{
    std::string text = "[" + item;
    for (std::size_t i = 1; i < count; ++i)
        absl::StrAppend(&text, ",", item);
    return text + "]";
}

json measureFaults(DocumentKind kind, const std::string& text)
{
    std::size_t faults = 0;
    double time = measureMicroseconds([&] { faults = parseDocument({ kind, "x" }, text).faults.size(); });
    return { { "milliseconds", time / 1000 }, { "faults", faults }, { "bytes", text.size() } };
}

/// Parses texts at the limits that are made to be slow.
json measureHostileTexts()
{
    std::string unknownFields = "{\"a\":0";
    for (int i = 0; unknownFields.size() < maximumDocumentBytes - 20; ++i)
        absl::StrAppend(&unknownFields, ",\"x", i, "\":0");
    unknownFields += "}";
    std::string wrongItems = "{\"models\":" + listOf("0", maximumDocumentValues - 2) + "}";
    std::string emptyItems = "{\"endpoints\":" + listOf("{}", maximumDocumentObjects - 1) + "}";
    return { { "unknown_fields", measureFaults(DocumentKind::Team, unknownFields) },
        { "wrong_items", measureFaults(DocumentKind::Team, wrongItems) },
        { "empty_items", measureFaults(DocumentKind::Region, emptyItems) } };
}

} // namespace

int main()
{
    RevisionedTree tree;
    json report;
    report["models"] = measureLoad(tree, makeModels(1));
    report["regions"] = measureLoad(tree, makeRegions(2));
    report["teams"] = measureLoad(tree, makeTeams(3));
    report["changes"] = measureChanges(tree);
    report["hostile"] = measureHostileTexts();
    std::cout << report.dump(2) << "\n";
    return 0;
}
