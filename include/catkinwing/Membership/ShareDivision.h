#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/strings/string_view.h>
#include <string>
#include <vector>

namespace catkinwing {

/// A rate limit for all entries of a region together: at most
/// `perSecond * window * ratio + slack` requests within any window.
struct SharedRate {
    double perSecond { 0 };
    double ratio { 1 };
    double slack { 0 };
    Duration window { std::chrono::seconds(1) };
    /// Time for which an entry may use a request that the holder of a share has granted to it.
    Duration grantLifetime { 0 };
};

/// An entry among which a rate is divided.
struct RateSharer {
    std::string name;
    /// Whether the entry is registered. One whose registration was removed may still run,
    /// for example while it is partitioned from the store.
    bool isListed { true };
};

/// The share of one entry in a SharedRate.
struct RateShare {
    double perSecond { 0 };
    /// Maximum number of requests at once; zero if the entry has no share.
    double burst { 0 };
};

/// Divides \p rate, the limit for requests to \p subject, among \p sharers, and returns
/// the share of \p self. Each share allows one request beyond its part of the rate, so
/// only a limited number of entries get a share. These entries are chosen by rendezvous
/// hash, so that all entries with the same list agree without communication. The holders
/// that are listed take over a part of the shares of those that aren't, but no more than
/// the rate bears if these still use them. An entry that isn't in the list gets no share.
RateShare divideRate(const std::vector<RateSharer>& sharers, absl::string_view self, absl::string_view subject, const SharedRate& rate);

/// Returns the names of the listed entries that divideRate() gives a share.
std::vector<std::string> listedHolders(const std::vector<RateSharer>& sharers, absl::string_view subject, const SharedRate& rate);

/// Returns the entry of \p entries that performs \p duty for all of them, such as
/// watching the store. The result depends only on the set of entries, and is empty if
/// there are none.
std::string chooseDelegate(const std::vector<std::string>& entries, absl::string_view duty);

} // namespace catkinwing
