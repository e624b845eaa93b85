#pragma once

#include <absl/strings/string_view.h>
#include <string>
#include <vector>

namespace catkinwing {

/// A rate that holds for all entries of a region together: no more than
/// `perSecond * ratio + slack` within any second.
struct SharedRate {
    double perSecond { 0 };
    double ratio { 1 };
    double slack { 0 };
};

/// What one entry may use of it.
struct RateShare {
    double perSecond { 0 };
    /// Requests at once; zero if the entry has no share.
    double burst { 0 };
};

/// Divides what \p subject bears among \p entries, of which \p self is one. Each
/// share allows at least one request at a time, so only as many entries get one
/// as the rate allows; they are chosen by rendezvous, so that all entries that
/// know the same entries agree without a word. An entry that isn't in the list gets none.
RateShare divideRate(const std::vector<std::string>& entries, absl::string_view self, absl::string_view subject, const SharedRate& rate);

/// Returns the entry of \p entries that does something for all of them, such as
/// watching the store; the same one for all that know the same entries. Empty if
/// there are none.
std::string chooseDelegate(const std::vector<std::string>& entries, absl::string_view duty);

} // namespace catkinwing
