// Tests how scarce capacity is divided between workspaces: by the counts of one entry, by reports,
// and for the requests of an entry.
#include "IngressFixture.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr const char* service = "model";

static std::string nameOf(int workspace)
{
    return "w" + std::to_string(workspace);
}

static std::uint64_t hashOf(int workspace)
{
    return workspaceHash(nameOf(workspace));
}

/// Returns workspaces that may use the same number of tokens each.
static WorkspaceTable equalWorkspaces(int count)
{
    std::vector<Workspace> all;
    for (int i = 0; i < count; ++i) {
        Workspace workspace;
        workspace.name = nameOf(i);
        workspace.keys = { digestKey("key-" + std::to_string(i)) };
        workspace.limit = { LimitUnit::Tokens, 1'000, 1'000, 100 };
        all.push_back(workspace);
    }
    return WorkspaceTable(all);
}

/// Counts a second of requests of all workspaces, of which a fraction is refused.
static void countSecond(ShortageTable& table, const std::vector<double>& tokens, double refused, TimePoint start)
{
    constexpr int steps = 20;
    for (int step = 0; step < steps; ++step) {
        for (std::size_t i = 0; i < tokens.size(); ++i) {
            TimePoint now = start + step * 1s / steps;
            table.record(service, hashOf(static_cast<int>(i)), tokens[i] * (1 - refused) / steps, true, false, now);
            table.record(service, hashOf(static_cast<int>(i)), tokens[i] * refused / steps, false, false, now);
        }
    }
}

static const TimePoint start = TimePoint {} + 100s;

TEST_CASE("all requests are within the shares of their workspaces unless there is a shortage")
{
    WorkspaceTable workspaces = equalWorkspaces(3);
    ShortageTable table;
    CHECK(table.fractionWithinShare(service, hashOf(0), workspaces, start) == 1);
    countSecond(table, { 6'000, 1'000, 1'000 }, 0, start);
    for (int i = 0; i < 3; ++i)
        CHECK(table.fractionWithinShare(service, hashOf(i), workspaces, start + 1s) == 1);
    CHECK(table.makeReport("e", 1, workspaces, start + 1s).rows.empty());
    CHECK(table.takeChanges(workspaces, start + 1s).empty());
}

TEST_CASE("in a shortage the workspace that sends many times its usual is beyond its share alone")
{
    WorkspaceTable workspaces = equalWorkspaces(4);
    ShortageTable table;
    countSecond(table, { 6'000, 1'000, 1'000, 1'000 }, 0.4, start);
    // Nine tenths of the 5,400 tokens that are admitted are divided.
    CHECK(table.fractionWithinShare(service, hashOf(0), workspaces, start + 1s) == Approx(0.31).margin(0.03));
    for (int i = 1; i < 4; ++i)
        CHECK(table.fractionWithinShare(service, hashOf(i), workspaces, start + 1s) == 1);
    // A service of its own, a workspace that hasn't sent anything, and one that no longer exists.
    CHECK(table.fractionWithinShare("other", hashOf(0), workspaces, start + 1s) == 1);
    CHECK(table.fractionWithinShare(service, hashOf(9), workspaces, start + 1s) == 1);
    CHECK(table.fractionWithinShare(service, hashOf(1), WorkspaceTable(), start + 2s) == 1);
    std::vector<ShortageChange> changes = table.takeChanges(workspaces, start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].service == service);
    CHECK(changes[0].hasBegun);
    // Some seconds after the last request nothing is left of it.
    CHECK(table.fractionWithinShare(service, hashOf(0), workspaces, start + 60s) == 1);
    CHECK_FALSE(table.takeChanges(workspaces, start + 60s).at(0).hasBegun);
}

// Pattern: one workspace sends six times its usual into endpoints that serve two thirds of all.
// Requests are admitted as the wait that they cause allows. Guards against callers of the others
// paying for it, and against a workspace that is refused altogether.
TEST_CASE("under six times the load of one workspace the others are served and it gets the rest")
{
    constexpr int count = 5;
    constexpr double usual = 20;
    constexpr double capacity = 130;
    WorkspaceTable workspaces = equalWorkspaces(count);
    ShortageTable table;
    Random random(3);
    double backlog = 0;
    std::vector<double> asked(count, 0);
    std::vector<double> served(count, 0);
    for (Duration passed { 0 }; passed < 20s; passed += 10ms) {
        TimePoint now = start + passed;
        backlog = std::max(backlog - capacity / 100, 0.0);
        for (int i = 0; i < count; ++i) {
            if (random.unit() >= (i == 0 ? 6 : 1) * usual / 100)
                continue;
            bool isWithin = random.unit() < table.fractionWithinShare(service, hashOf(i), workspaces, now);
            // The max wait is half a second of work.
            bool isAdmitted = backlog < capacity / 2 * waitFractionFor(isWithin ? ShareClass::Within : ShareClass::Beyond);
            backlog += isAdmitted ? 1 : 0;
            table.record(service, hashOf(i), 100, isAdmitted, false, now);
            if (passed < 4s)
                continue;
            asked[i] += 1;
            served[i] += isAdmitted ? 1 : 0;
        }
    }
    for (int i = 1; i < count; ++i) {
        CAPTURE(i, asked[i], served[i]);
        CHECK(served[i] >= asked[i] * 0.97);
    }
    // 16 seconds, less what the others use.
    CAPTURE(asked[0], served[0]);
    CHECK(served[0] >= (capacity - 4 * usual) * 16 * 0.9);
}

// Pattern: all clients send half as much again as the endpoints serve, and each refused one returns
// once, too late for its target. Guards against endpoints that work for callers who are late already
// while others, who could be served in time, are refused.
TEST_CASE("in a shortage callers that can be in time go before those that return late")
{
    WorkspaceTable workspaces = equalWorkspaces(1);
    ShortageTable table;
    Random random(5);
    constexpr double capacity = 100;
    double backlog = 0;
    int inTime = 0;
    int late = 0;
    std::deque<TimePoint> returns;
    auto offer = [&](bool isLate, TimePoint now) {
        ShareClass shareClass = ShareClass::Within;
        if (table.hasShortage(service, workspaces, now)) {
            bool isWithin = random.unit() < table.fractionWithinShare(service, hashOf(0), workspaces, now);
            shareClass = isLate ? ShareClass::Late : (isWithin ? ShareClass::Within : ShareClass::Beyond);
        }
        bool isAdmitted = backlog < capacity / 2 * waitFractionFor(shareClass);
        table.record(service, hashOf(0), 100, isAdmitted, isLate, now);
        backlog += isAdmitted ? 1 : 0;
        return isAdmitted;
    };
    for (Duration passed { 0 }; passed < 20s; passed += 2ms) {
        TimePoint now = start + passed;
        backlog = std::max(backlog - capacity / 500, 0.0);
        bool isCounted = passed >= 5s;
        while (!returns.empty() && returns.front() <= now) {
            returns.pop_front();
            late += offer(true, now) && isCounted ? 1 : 0;
        }
        if (random.unit() >= 1.5 * capacity / 500)
            continue;
        if (offer(false, now))
            inTime += isCounted ? 1 : 0;
        else
            returns.push_back(now + 1s);
    }
    CAPTURE(inTime, late);
    CHECK(inTime + late >= capacity * 15 * 0.95);
    CHECK(inTime >= capacity * 15 * 0.9);
}

TEST_CASE("a workspace that is alone at a service has nobody to share it with")
{
    WorkspaceTable workspaces = equalWorkspaces(1);
    ShortageTable table;
    countSecond(table, { 6'000 }, 0.5, start);
    CHECK(table.hasShortage(service, workspaces, start + 1s));
    CHECK(table.fractionWithinShare(service, hashOf(0), workspaces, start + 1s) == 1);
}

TEST_CASE("reports of other entries count for three seconds, the latest of each entry only")
{
    WorkspaceTable workspaces = equalWorkspaces(2);
    ShortageTable table;
    std::uint32_t hash = serviceHash(service);
    auto fractionOfFirst = [&](TimePoint now) { return table.fractionWithinShare(service, hashOf(0), workspaces, now); };
    countSecond(table, { 1'000, 1'000 }, 0, start);
    TimePoint now = start + 1s;
    table.handleReport({ "a", 2, { { hash, hashOf(0), 8'000, 2'000 }, { hash, hashOf(1), 1'000, 1'000 } } }, now);
    double fraction = fractionOfFirst(now);
    CHECK(fraction < 0.5);
    table.handleReport({ "a", 1, { { hash, hashOf(0), 1, 1 } } }, now);
    CHECK(fractionOfFirst(now + 200ms) == Approx(fraction).margin(0.05));
    // After a start, the entry has another key.
    table.handleReport({ "b", 1, { { hash, hashOf(0), 8'000, 2'000 } } }, now + 200ms);
    CHECK(fractionOfFirst(now + 400ms) < fraction);
    CHECK(fractionOfFirst(now + 3'500ms) == 1);
}

TEST_CASE("an entry reports its own counts, the largest first, and no more than fit")
{
    WorkspaceTable workspaces = equalWorkspaces(40);
    ShortageTable table;
    std::vector<double> tokens(40, 100);
    tokens[7] = 5'000;
    countSecond(table, tokens, 0.5, start);
    table.handleReport({ "a", 1, { { serviceHash(service), hashOf(3), 90'000, 1'000 } } }, start + 1s);
    WorkspaceReport report = table.makeReport("self", 4, workspaces, start + 1s);
    CHECK(report.entry == "self");
    CHECK(report.sequence == 4);
    REQUIRE(report.rows.size() == maxWorkspaceRows);
    CHECK(report.rows[0].workspace == hashOf(7));
    CHECK(report.rows[0].requested < 5'000);
    CHECK(decodeWorkspaceReport(encodeWorkspaceReport(report)).ok());
}

// Guards against a state that grows with what others send.
TEST_CASE("reports of any number of entries take bounded memory")
{
    WorkspaceTable workspaces = equalWorkspaces(2);
    ShortageTable table;
    countSecond(table, { 1'000, 1'000 }, 0, start);
    for (int i = 0; i < 5'000; ++i)
        table.handleReport({ "entry-" + std::to_string(i), 1, { { serviceHash(service), static_cast<std::uint64_t>(i), 10, 10 } } }, start + 1s);
    CHECK(table.standings(workspaces, start + 1s).size() <= 2 + 64);
}

namespace {

/// An entry with one endpoint, two workspaces with the same limit and a table of shortages.
struct SharingEntry {
    SharingEntry()
    {
        std::vector<Workspace> workspaces = equalWorkspaces(2).all();
        fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent), workspaces);
        fixture.addEndpoint("e1");
        fixture.answers = { [](const HttpClientRequest& request) { return endpointAnswer(request, 200, "ok"); } };
        fixture.parts.shortages = &shortages;
    }
    std::string serviceName() const { return fixture.parts.routes->services().front().name; }
    std::shared_ptr<FakeResponder> request(int workspace) { return fixture.runToEnd({ { "workspace-key", "key-" + std::to_string(workspace) }, { "tokens", "500" } }); }
    void reportHotWorkspace()
    {
        std::uint32_t hash = serviceHash(serviceName());
        shortages.handleReport({ "a", ++reports, { { hash, hashOf(0), 900'000, 20'000 }, { hash, hashOf(1), 1'000, 1'000 } } }, fixture.scheduler.clock().now());
    }
    /// Adds work to the only endpoint, so that requests wait there.
    void fillEndpoint(std::int64_t tokens)
    {
        fixture.parts.endpoints.forEach([&](RoutedEndpoint& endpoint) { endpoint.unprefilledTokens = tokens; });
    }

    IngressFixture fixture;
    ShortageTable shortages;
    std::uint64_t reports { 0 };
};

} // namespace

TEST_CASE("an entry counts the requests that it sends by workspace, once each")
{
    SharingEntry entry;
    CHECK(entry.request(0)->status() == 200);
    std::vector<WorkspaceStanding> standings = entry.shortages.standings(entry.fixture.parts.routes->workspaces(), entry.fixture.scheduler.clock().now() - 20s);
    REQUIRE(standings.size() == 1);
    CHECK(standings[0].workspace == hashOf(0));
    CHECK(standings[0].requested == standings[0].admitted);
    CHECK(standings[0].requested > 0);
}

// Guards against callers of other workspaces that are refused because of one.
TEST_CASE("while endpoints are short, requests beyond their workspace's share are refused first, at once and not run")
{
    SharingEntry entry;
    std::int64_t load = 0;
    // Finds a load at which only a part of the max wait is exceeded.
    for (std::int64_t tokens = 1'000; tokens <= 200'000 && load == 0; tokens += 1'000) {
        entry.fillEndpoint(tokens);
        entry.reportHotWorkspace();
        if (entry.request(0)->status() == 503)
            load = tokens;
    }
    REQUIRE(load > 0);
    entry.fillEndpoint(load);
    entry.reportHotWorkspace();
    CHECK(entry.request(1)->status() == 200);
    entry.fillEndpoint(load);
    entry.reportHotWorkspace();
    std::size_t sent = entry.fixture.endpointClient.requests.size();
    auto refused = entry.request(0);
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    CHECK(refused->head->headers.find("retry-after"));
    CHECK(refused->body.find("beyond_share") != std::string::npos);
    CHECK(entry.fixture.endpointClient.requests.size() == sent);
    // Without the setting nothing is divided.
    entry.fixture.parts.shortages = nullptr;
    entry.fillEndpoint(load);
    CHECK(entry.request(0)->status() == 200);
}

// Guards against endpoints that work for callers who are late already.
TEST_CASE("a client that returns late in a shortage gets a free endpoint only")
{
    SharingEntry entry;
    Route route = IngressFixture::unaryRoute(RequestKind::NonIdempotent);
    route.latencyTarget = 500ms;
    route.timeout = 3s;
    entry.fixture.configure(route, equalWorkspaces(2).all());
    auto requestWith = [&](const std::string& timeLeft) {
        entry.fillEndpoint(5'000);
        entry.reportHotWorkspace();
        return entry.fixture.runToEnd({ { "workspace-key", "key-1" }, { "tokens", "500" }, { "time-left", timeLeft } });
    };
    CHECK(requestWith("3000")->status() == 200);
    auto late = requestWith("2000");
    CHECK(late->status() == 503);
    CHECK(late->body.find("late_in_shortage") != std::string::npos);
    entry.reportHotWorkspace();
    entry.fillEndpoint(0);
    CHECK(entry.fixture.runToEnd({ { "workspace-key", "key-1" }, { "tokens", "500" }, { "time-left", "2000" } })->status() == 200);
}

TEST_CASE("a workspace beyond its share is served by endpoints that have room")
{
    SharingEntry entry;
    entry.reportHotWorkspace();
    CHECK(entry.request(0)->status() == 200);
}
