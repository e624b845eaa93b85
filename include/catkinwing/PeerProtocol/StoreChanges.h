#pragma once

#include "catkinwing/Support/StoreRevision.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <string>
#include <vector>

namespace catkinwing {

/// Header by which an entry asks another for what has changed in the store
/// after a revision, of which it has the number; zero asks for everything.
constexpr const char* changesAfterHeader = "Catkinwing-Changes-After";
/// Header that has the era of that revision. Earlier releases don't send it and don't
/// read answers that state eras.
constexpr const char* changesEraHeader = "Catkinwing-Changes-Era";
/// Header by which it asks for an answer at once, also if nothing has changed.
constexpr const char* changesAtOnceHeader = "Catkinwing-Changes-At-Once";

/// What is older is told as this old.
constexpr std::chrono::hours longestStoreAge { 1 };

/// One key of the store, or that it is gone.
struct StoreChange {
    std::string key;
    std::string value;
    StoreRevision revision {};
    bool isDeletion { false };
};

/// What an entry tells another of the store. About 40 bytes a change and its
/// key and value.
struct StoreChanges {
    /// All changes up to here are told. Of a later era than the asker's if the store has come
    /// back from a copy; the changes then include the differences of that copy.
    StoreRevision revision {};
    std::vector<StoreChange> changes;
    /// The sender has missed a part of the history and concludes some of the
    /// changes from a listing: keys that are gone may only have lapsed while the
    /// store was away.
    bool spansListing { false };
    /// How long ago the store itself last told the sender that nothing else had
    /// changed; at most longestStoreAge, to the millisecond.
    std::chrono::milliseconds age { 0 };
};

std::string encodeStoreChanges(const StoreChanges& changes);
absl::StatusOr<StoreChanges> decodeStoreChanges(absl::string_view bytes);

} // namespace catkinwing
