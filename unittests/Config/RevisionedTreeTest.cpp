#include "catkinwing/Config/RevisionedTree.h"
#include "TestDocuments.h"

#include <catch2/catch.hpp>
#include <random>

using namespace catkinwing;

static TreeEntry entryOf(const char* path, Revision revision, const nlohmann::json& document)
{
    return { *parseDocumentPath(path), revision, std::make_shared<std::string>(document.dump()) };
}

static TreeEntry tombstone(const char* path, Revision revision)
{
    return { *parseDocumentPath(path), revision, nullptr };
}

static TreeEntry teamWithShare(const char* path, Revision revision, double share)
{
    nlohmann::json team = teamJson(path);
    team["share"] = share;
    return entryOf(path, revision, team);
}

/// Offers what \p from holds and \p to lacks; returns how many entries that were.
static std::size_t push(const RevisionedTree& from, RevisionedTree& to)
{
    auto entries = from.newerThan(to.revisions());
    for (const TreeEntry& entry : entries)
        to.offer(entry);
    return entries.size();
}

TEST_CASE("a path only moves to higher revisions")
{
    RevisionedTree tree;
    CHECK(tree.offer(teamWithShare("teams/t", 5, 1)).outcome == OfferOutcome::Applied);
    auto before = tree.snapshot();
    CHECK(tree.offer(teamWithShare("teams/t", 4, 2)).outcome == OfferOutcome::AlreadyNewer);
    CHECK(tree.offer(teamWithShare("teams/t", 5, 3)).outcome == OfferOutcome::AlreadyNewer);
    CHECK(tree.offer(tombstone("teams/t", 5)).outcome == OfferOutcome::AlreadyNewer);
    CHECK(tree.offer(teamWithShare("teams/u", 0, 3)).outcome == OfferOutcome::AlreadyNewer);
    CHECK(tree.snapshot() == before);
    CHECK(tree.offer(teamWithShare("teams/t", 6, 4)).outcome == OfferOutcome::Applied);
    CHECK(findTeam(*tree.snapshot(), "t")->share == 4);
    CHECK(findTeam(*before, "t")->share == 1);
    CHECK(tree.counts().applied == 2);
    CHECK(tree.counts().alreadyNewer == 4);
}

TEST_CASE("a deletion holds against older documents until a newer one")
{
    RevisionedTree tree;
    tree.offer(teamWithShare("teams/t", 5, 1));
    CHECK(tree.offer(tombstone("teams/t", 7)).outcome == OfferOutcome::Applied);
    CHECK(tree.offer(teamWithShare("teams/t", 6, 1)).outcome == OfferOutcome::AlreadyNewer);
    CHECK(findTeam(*tree.snapshot(), "t") == nullptr);
    CHECK(findCallerKey(*tree.snapshot(), digestKey("teams/t")).team == nullptr);
    CHECK(tree.find({ DocumentKind::Team, "t" })->text == nullptr);
    CHECK(tree.tombstones() == 1);
    CHECK(tree.offer(teamWithShare("teams/t", 8, 2)).outcome == OfferOutcome::Applied);
    CHECK(tree.tombstones() == 0);
}

TEST_CASE("an invalid document is never in force")
{
    RevisionedTree tree;
    tree.offer(teamWithShare("teams/t", 5, 1));
    OfferResult result = tree.offer(teamWithShare("teams/t", 6, -1));
    CHECK(result.outcome == OfferOutcome::Invalid);
    CHECK(pointersOf(result.faults) == std::vector<std::string> { "/share" });
    CHECK(findTeam(*tree.snapshot(), "t")->share == 1);
    CHECK(tree.find({ DocumentKind::Team, "t" })->revision == 5);
    CHECK(tree.counts().invalid == 1);
    REQUIRE(tree.rejected().size() == 1);
    CHECK(tree.rejected()[0].revision == 6);

    SECTION("it is not parsed again")
    {
        CHECK(tree.offer(teamWithShare("teams/t", 6, -1)).outcome == OfferOutcome::AlreadyNewer);
    }
    SECTION("a newer valid one replaces it")
    {
        CHECK(tree.offer(teamWithShare("teams/t", 7, 3)).outcome == OfferOutcome::Applied);
        CHECK(tree.rejected().empty());
    }
    SECTION("a peer without either gets the one in force too")
    {
        RevisionedTree peer;
        CHECK(push(tree, peer) == 2);
        CHECK(findTeam(*peer.snapshot(), "t")->share == 1);
        CHECK(peer.digest() == tree.digest());
    }
}

TEST_CASE("trees that took the same entries in any order are alike")
{
    std::vector<TreeEntry> entries;
    for (const char* path : { "teams/a", "teams/b", "teams/c" }) {
        for (Revision revision = 1; revision <= 4; ++revision)
            entries.push_back(revision == 3 ? tombstone(path, revision) : teamWithShare(path, revision, static_cast<double>(revision)));
    }
    entries.push_back(tombstone("teams/a", 5));
    RevisionedTree reference;
    for (const TreeEntry& entry : entries)
        reference.offer(entry);
    std::mt19937 random(7);
    for (int round = 0; round < 20; ++round) {
        std::shuffle(entries.begin(), entries.end(), random);
        RevisionedTree tree;
        for (const TreeEntry& entry : entries)
            tree.offer(entry);
        REQUIRE(tree.digest() == reference.digest());
        REQUIRE(findTeam(*tree.snapshot(), "a") == nullptr);
        REQUIRE(findTeam(*tree.snapshot(), "b")->share == 4);
    }
    RevisionedTree other;
    other.offer(entries[0]);
    CHECK(other.digest() != reference.digest());
}

TEST_CASE("two trees agree after each has pushed what the other lacks")
{
    RevisionedTree a;
    RevisionedTree b;
    a.offer(teamWithShare("teams/x", 1, 1));
    a.offer(teamWithShare("teams/y", 9, 2));
    b.offer(tombstone("teams/x", 8));
    b.offer(teamWithShare("teams/y", 3, 1));
    b.offer(entryOf("models/m", 4, modelJson()));
    CHECK(push(a, b) == 1);
    CHECK(push(b, a) == 2);
    CHECK(a.digest() == b.digest());
    CHECK(a.newerThan(b.revisions()).empty());
    CHECK(findTeam(*a.snapshot(), "x") == nullptr);
    CHECK(findTeam(*b.snapshot(), "y")->share == 2);
    CHECK(findModel(*a.snapshot(), "m") != nullptr);
}

TEST_CASE("a listing deletes what it leaves out and nothing newer")
{
    RevisionedTree tree;
    tree.offer(teamWithShare("teams/gone", 3, 1));
    tree.offer(teamWithShare("teams/newer", 12, 1));
    auto rejected = tree.applyListing({ teamWithShare("teams/kept", 4, 1), teamWithShare("teams/bad", 5, -1) }, 10);
    REQUIRE(rejected.size() == 1);
    CHECK(rejected[0].path.name == "bad");
    CHECK(findTeam(*tree.snapshot(), "gone") == nullptr);
    CHECK(findTeam(*tree.snapshot(), "newer") != nullptr);
    CHECK(findTeam(*tree.snapshot(), "kept") != nullptr);
}

TEST_CASE("an entry that started after a deletion does not take the document back")
{
    RevisionedTree fresh;
    fresh.applyListing({}, 10);
    fresh.offer(tombstone("teams/again", 2));
    RevisionedTree stale;
    stale.offer(teamWithShare("teams/gone", 7, 1));
    stale.offer(teamWithShare("teams/again", 6, 1));
    push(stale, fresh);
    CHECK(fresh.snapshot()->teams.empty());
    push(fresh, stale);
    CHECK(stale.snapshot()->teams.empty());
    push(stale, fresh);
    CHECK(fresh.digest() == stale.digest());
    CHECK(fresh.offer(teamWithShare("teams/gone", 11, 1)).outcome == OfferOutcome::Applied);
}

TEST_CASE("snapshots share the documents that did not change")
{
    RevisionedTree tree;
    tree.offer(entryOf("regions/r", 1, regionJson()));
    tree.offer(teamWithShare("teams/t", 2, 1));
    auto before = tree.snapshot();
    tree.offer(teamWithShare("teams/u", 3, 1));
    auto after = tree.snapshot();
    CHECK(before != after);
    CHECK(findRegion(*before, "r") == findRegion(*after, "r"));
    CHECK(findTeam(*before, "t") == findTeam(*after, "t"));
    CHECK(endpointsInZone(*after, "r", "z1").size() == 1);
    CHECK(endpointsInZone(*after, "r", "z1")[0]->name == "e1");
    CHECK(endpointsInZone(*after, "r", "z9").empty());
}

TEST_CASE("a key that two teams name belongs to neither")
{
    RevisionedTree tree;
    tree.offer(entryOf("teams/t", 1, teamJson("shared")));
    KeyOwner owner = findCallerKey(*tree.snapshot(), digestKey("shared"));
    REQUIRE(owner.team);
    CHECK(owner.team->name == "t");
    CHECK(owner.key->name == "k1");
    tree.offer(entryOf("teams/u", 2, teamJson("shared")));
    CHECK(findCallerKey(*tree.snapshot(), digestKey("shared")).team == nullptr);
    CHECK(findCallerKey(*tree.snapshot(), digestKey("other")).team == nullptr);
    tree.offer(tombstone("teams/u", 3));
    CHECK(findCallerKey(*tree.snapshot(), digestKey("shared")).team->name == "t");
}
