#include "catkinwing/Routing/CallerSteering.h"

#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start { 1h };

static EntryView makeEntry(const std::string& name, const std::string& region, const std::string& zone)
{
    EntryView entry;
    entry.name = name;
    entry.region = region;
    entry.zone = zone;
    entry.models = { "m" };
    entry.roundTripTime = region == "caldas" ? 2ms : 110ms;
    return entry;
}

static std::vector<EntryView> makeEntries()
{
    return { makeEntry("v1", "valle", "valle-1"), makeEntry("c1", "caldas", "caldas-1"), makeEntry("c2", "caldas", "caldas-2"),
        makeEntry("c3", "caldas", "caldas-2"), makeEntry("p1", "perth", "perth-1") };
}

static SteeringRequest makeRequest(const std::string& session = "")
{
    SteeringRequest request;
    request.residency = Residency::within({ "caldas", "valle" });
    request.model = "m";
    request.team = "fitters";
    request.session = session;
    request.zone = "caldas-2";
    request.region = "caldas";
    return request;
}

static std::vector<std::string> steer(const SteeringRequest& request, const std::vector<EntryView>& entries, TimePoint now = start)
{
    std::vector<std::string> names;
    for (std::size_t index : rankEntries(request, entries, {}, now))
        names.push_back(entries[index].name);
    return names;
}

TEST_CASE("without a session the caller's zone comes first, then its region, then others")
{
    std::vector<std::string> order = steer(makeRequest(), makeEntries());
    REQUIRE(order.size() == 4);
    CHECK(std::set<std::string>(order.begin(), order.begin() + 2) == std::set<std::string> { "c2", "c3" });
    CHECK(order[2] == "c1");
    CHECK(order[3] == "v1");
}

TEST_CASE("callers without a session are distributed over the entries of their zone")
{
    std::set<std::string> firsts;
    for (std::uint64_t spread = 0; spread < 50; ++spread) {
        SteeringRequest request = makeRequest();
        request.spread = spread;
        firsts.insert(steer(request, makeEntries()).front());
    }
    CHECK(firsts == std::set<std::string> { "c2", "c3" });
}

TEST_CASE("entries that drain, are unreachable or lie outside the residency are omitted")
{
    std::vector<EntryView> entries = makeEntries();
    entries[1].draining = true;
    entries[2].reachable = false;
    CHECK(steer(makeRequest(), entries) == std::vector<std::string> { "c3", "v1" });
    SteeringRequest nowhere = makeRequest();
    nowhere.residency = Residency();
    CHECK(steer(nowhere, entries).empty());
}

TEST_CASE("an entry that doesn't serve the model comes last")
{
    std::vector<EntryView> entries = makeEntries();
    entries[3].models = { "n" };
    CHECK(steer(makeRequest("s"), entries).back() == "c3");
}

TEST_CASE("a session maps to the same entry from every zone, and removing an entry moves only its own sessions")
{
    std::vector<EntryView> entries;
    entries.reserve(10);
    for (int i = 0; i < 10; ++i)
        entries.push_back(makeEntry("c" + std::to_string(i), "caldas", "caldas-" + std::to_string(i % 3)));
    int moved = 0;
    int onRemoved = 0;
    for (int session = 0; session < 500; ++session) {
        SteeringRequest request = makeRequest("s" + std::to_string(session));
        std::string first = steer(request, entries).front();
        request.zone = "caldas-1";
        REQUIRE(steer(request, entries).front() == first);
        std::vector<EntryView> fewer(entries.begin() + 1, entries.end());
        onRemoved += first == "c0" ? 1 : 0;
        moved += steer(request, fewer).front() != first ? 1 : 0;
    }
    CHECK(moved == onRemoved);
    CHECK(moved > 20);
    CHECK(moved < 90);
}

TEST_CASE("an entry that has just started receives a small share of the sessions")
{
    std::vector<EntryView> entries = makeEntries();
    entries[1].availableSince = start;
    auto countOn = [&entries](TimePoint now) {
        int count = 0;
        for (int session = 0; session < 600; ++session)
            count += steer(makeRequest("s" + std::to_string(session)), entries, now).front() == "c1" ? 1 : 0;
        return count;
    };
    CHECK(countOn(start) < 70);
    CHECK(countOn(start + 1min) > 150);
}
