#include "catkinwing/Support/RequestFingerprint.h"

#include "catkinwing/Support/Hash.h"
#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>

namespace catkinwing {

std::string RequestFingerprint::toHex() const
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

std::uint64_t stableHash(const RequestFingerprint& fingerprint, std::uint64_t seed)
{
    absl::string_view bytes(reinterpret_cast<const char*>(fingerprint.bytes.data()), fingerprint.bytes.size());
    return stableHash(bytes, seed);
}

} // namespace catkinwing
