#include "catkinwing/Support/Id.h"

#include <absl/strings/str_format.h>

namespace catkinwing {

std::string makeId(Random& random)
{
    std::uint64_t high = random.bits();
    return absl::StrFormat("%016x%016x", high, random.bits());
}

} // namespace catkinwing
