#include "catkinwing/Coordination/WeightStoreRate.h"

namespace catkinwing {

double weightStoreShare(double totalBytesPerSecond, std::size_t zoneEndpoints, std::size_t allEndpoints)
{
    if (allEndpoints == 0 || zoneEndpoints >= allEndpoints)
        return totalBytesPerSecond;
    return totalBytesPerSecond * static_cast<double>(zoneEndpoints) / static_cast<double>(allEndpoints);
}

WeightStoreRate::WeightStoreRate(double bytesPerSecond, Duration burst, TimePoint now)
    : m_burst(burst)
    , m_bucket(rateFor(bytesPerSecond), now)
{
}

void WeightStoreRate::setShare(double bytesPerSecond, TimePoint now)
{
    m_bucket.setRate(rateFor(bytesPerSecond), now);
}

double WeightStoreRate::budget(TimePoint now) const
{
    return m_bucket.available(now);
}

void WeightStoreRate::noteLoad(std::uint64_t bytes, TimePoint now)
{
    m_bucket.takeIntoDebt(static_cast<double>(bytes), now);
}

TokenRate WeightStoreRate::rateFor(double bytesPerSecond) const
{
    return { bytesPerSecond, bytesPerSecond * std::chrono::duration<double>(m_burst).count() };
}

} // namespace catkinwing
