#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// Header by which an entry asks another for what has changed in the store
/// after a revision; zero asks for everything.
constexpr const char* changesAfterHeader = "Catkinwing-Changes-After";

/// One key of the store, or that it is gone.
struct StoreChange {
    std::string key;
    std::string value;
    std::int64_t revision { 0 };
    bool isDeletion { false };
};

/// What an entry tells another of the store. About 40 bytes a change and its
/// key and value.
struct StoreChanges {
    /// All changes up to here are told.
    std::int64_t revision { 0 };
    std::vector<StoreChange> changes;
    /// The sender has missed a part of the history and concludes some of the
    /// changes from a listing: keys that are gone may only have lapsed while the
    /// store was away.
    bool spansListing { false };
};

std::string encodeStoreChanges(const StoreChanges& changes);
absl::StatusOr<StoreChanges> decodeStoreChanges(absl::string_view bytes);

} // namespace catkinwing
