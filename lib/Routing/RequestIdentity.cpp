#include "catkinwing/Routing/RequestIdentity.h"

#include "catkinwing/Config/KeyDigest.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

// Each field is prefixed with its length, so that different divisions of the same
// text give different fingerprints.
RequestFingerprint fingerprintOf(const RequestIdentity& identity)
{
    std::string text;
    for (absl::string_view field : { identity.host, identity.caller, identity.method, identity.path, identity.query, identity.body })
        absl::StrAppend(&text, field.size(), ":", field);
    KeyDigest digest = digestKey(text);
    RequestFingerprint fingerprint;
    std::copy_n(digest.bytes.begin(), RequestFingerprint::size, fingerprint.bytes.begin());
    return fingerprint;
}

} // namespace catkinwing
