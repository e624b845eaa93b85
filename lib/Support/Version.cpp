#include "catkinwing/Support/Version.h"

namespace catkinwing {

const char* versionString()
{
    return CATKINWING_VERSION;
}

} // namespace catkinwing
