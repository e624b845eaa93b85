#include "catkinwing/Support/Random.h"

#include <cassert>

namespace catkinwing {

Random Random::fromSystem()
{
    constexpr unsigned bitsPerWord = 32;
    std::random_device device;
    std::uint64_t high = device();
    return Random((high << bitsPerWord) | device());
}

std::uint64_t Random::below(std::uint64_t bound)
{
    assert(bound > 0 && "an empty range has no random number");
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double Random::unit()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

} // namespace catkinwing
