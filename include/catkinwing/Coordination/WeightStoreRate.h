#pragma once

#include "catkinwing/Coordination/TokenBucket.h"
#include <cstddef>
#include <cstdint>

namespace catkinwing {

/// Returns one zone's part of the weight store's rate: the zones divide it by
/// their numbers of endpoints, which every orderer reads from the same
/// configuration, so that no message is needed.
double weightStoreShare(double totalBytesPerSecond, std::size_t zoneEndpoints, std::size_t allEndpoints);

/// Keeps the loads that one orderer causes within its share of the weight store's rate.
class WeightStoreRate {
public:
    /// \p burst is how long a rate may be saved up for.
    WeightStoreRate(double bytesPerSecond, Duration burst, TimePoint now);

    /// Takes over a new share.
    void setShare(double bytesPerSecond, TimePoint now);
    /// Returns the bytes that may be loaded now; not positive while in debt.
    double budget(TimePoint now) const;
    /// Counts a load. One larger than the budget is paid back before the next.
    void noteLoad(std::uint64_t bytes, TimePoint now);

private:
    TokenRate rateFor(double bytesPerSecond) const;

    Duration m_burst;
    TokenBucket m_bucket;
};

} // namespace catkinwing
