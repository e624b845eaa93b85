#include "catkinwing/Support/RequestFingerprint.h"

#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>

namespace catkinwing {

std::string RequestFingerprint::toHex() const
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

} // namespace catkinwing
