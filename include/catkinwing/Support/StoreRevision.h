#pragma once

#include <cstdint>

namespace catkinwing {

/// A position in the history of a store. A store that comes back from an older copy of itself
/// begins a new era and gives out numbers again, so a number means nothing without its era. A
/// position of a later era is later, whatever the numbers.
struct StoreRevision {
    constexpr StoreRevision() = default;
    /// A position in a store without eras.
    constexpr StoreRevision(std::int64_t givenNumber) // NOLINT(google-explicit-constructor)
        : number(givenNumber)
    {
    }
    constexpr StoreRevision(std::int64_t givenEra, std::int64_t givenNumber)
        : era(givenEra)
        , number(givenNumber)
    {
    }

    constexpr StoreRevision next() const { return { era, number + 1 }; }
    constexpr StoreRevision previous() const { return { era, number - 1 }; }

    std::int64_t era { 0 };
    std::int64_t number { 0 };
};

constexpr bool operator==(const StoreRevision& a, const StoreRevision& b) { return a.era == b.era && a.number == b.number; }
constexpr bool operator!=(const StoreRevision& a, const StoreRevision& b) { return !(a == b); }
constexpr bool operator<(const StoreRevision& a, const StoreRevision& b) { return a.era != b.era ? a.era < b.era : a.number < b.number; }
constexpr bool operator>(const StoreRevision& a, const StoreRevision& b) { return b < a; }
constexpr bool operator<=(const StoreRevision& a, const StoreRevision& b) { return !(b < a); }
constexpr bool operator>=(const StoreRevision& a, const StoreRevision& b) { return !(a < b); }

/// Names a lease of a store; number zero names none. Numbers are given out again in a new era.
struct StoreLease {
    constexpr StoreLease() = default;
    /// A lease of a store without eras.
    constexpr StoreLease(std::int64_t givenNumber) // NOLINT(google-explicit-constructor)
        : number(givenNumber)
    {
    }
    constexpr StoreLease(std::int64_t givenEra, std::int64_t givenNumber)
        : era(givenEra)
        , number(givenNumber)
    {
    }

    std::int64_t era { 0 };
    std::int64_t number { 0 };
};

constexpr bool operator==(const StoreLease& a, const StoreLease& b) { return a.era == b.era && a.number == b.number; }
constexpr bool operator!=(const StoreLease& a, const StoreLease& b) { return !(a == b); }

} // namespace catkinwing
