#pragma once

#include <cstdint>
#include <random>

namespace catkinwing {

/// Source of random numbers, passed in so that a run can be repeated from its seed.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a generator seeded by the operating system.
    static Random fromSystem();
    /// Returns a number from 0 to \p bound - 1; \p bound must not be zero.
    std::uint64_t below(std::uint64_t bound);
    /// Returns a number in [0, 1).
    double unit();
    /// Returns 64 random bits.
    std::uint64_t bits() { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace catkinwing
