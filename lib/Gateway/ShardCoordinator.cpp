#include "catkinwing/Gateway/ShardCoordinator.h"

#include "catkinwing/Routing/CallerSteering.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

namespace {

    /// The best entry so far by rendezvous hash.
    struct Choice {
        std::string key;
        std::string name;
        double score { -1 };

        void offer(const std::string& candidate)
        {
            double candidateScore = rendezvousScore(key, candidate, 1);
            if (candidateScore <= score)
                return;
            name = candidate;
            score = candidateScore;
        }
    };

} // namespace

// Why the region, and what it costs. The claimant lies in a region where the
// team's data may be, so claims, though digests and ids only, never leave that
// region through a coordinator, and the way there is a few milliseconds, which
// the timeouts of forwarding are made for. Entries that see different zones
// disagree for a while, which costs conflicts and nothing else.
//
// A coordinator swaps a shard at most once in minSwapInterval, so 16 shards make
// at most 160 writes/s for each region that has keyed requests, where each zone
// would make as many by itself. At the target's 700 claims/s over 22 regions a
// coordinator sees 2 claims/s of a shard, so few share a write: 700 / (1 + 2 *
// 0.1) are some 580 writes/s by calculation, against some 650 with a coordinator
// in each of 60 zones; and nearly each of them first conflicts with another
// region's. That is more than the store's several hundred writes/s. One
// coordinator for all regions would stay within 160, but it needs the team's
// residency here and timeouts for wide-area links.
std::string shardCoordinator(const EntryIdentity& self, const MembershipView& view, unsigned shard)
{
    Choice choice { absl::StrCat("ledger/", shard), self.ref.name, -1 };
    if (!view.draining)
        choice.offer(self.ref.name);
    for (const MemberView& member : view.members) {
        if (member.isUsable())
            choice.offer(member.identity.ref.name);
    }
    for (const ZoneView& zone : view.zones) {
        if (!zone.isReachable || zone.region != self.region)
            continue;
        for (const ZoneEntry& entry : zone.entries) {
            if (!entry.draining)
                choice.offer(entry.ref.name);
        }
    }
    return choice.name;
}

} // namespace catkinwing
