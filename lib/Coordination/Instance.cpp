#include "catkinwing/Coordination/Instance.h"

namespace catkinwing {

// The named fields repeat what is in the metadata, but for the state, which
// failing checks may override.
bool operator==(const Instance& a, const Instance& b)
{
    return a.id == b.id && a.address == b.address && a.state == b.state && a.meta == b.meta;
}

} // namespace catkinwing
