#pragma once

#include <absl/strings/string_view.h>
#include <string>
#include <vector>

namespace catkinwing {

/// A rate limit for all entries of a region together: at most
/// `perSecond * ratio + slack` requests within any second.
struct SharedRate {
    double perSecond { 0 };
    double ratio { 1 };
    double slack { 0 };
};

/// The share of one entry in a SharedRate.
struct RateShare {
    double perSecond { 0 };
    /// Maximum number of requests at once; zero if the entry has no share.
    double burst { 0 };
};

/// Divides \p rate, the limit for requests to \p subject, among \p entries, and returns
/// the share of \p self. Each share allows one request beyond its part of the rate, so
/// only a limited number of entries get a share. These entries are chosen by rendezvous
/// hash, so that all entries with the same list agree without communication. An entry
/// that isn't in the list gets no share.
RateShare divideRate(const std::vector<std::string>& entries, absl::string_view self, absl::string_view subject, const SharedRate& rate);

/// Returns the entry of \p entries that performs \p duty for all of them, such as
/// watching the store. The result depends only on the set of entries, and is empty if
/// there are none.
std::string chooseDelegate(const std::vector<std::string>& entries, absl::string_view duty);

} // namespace catkinwing
