#pragma once

#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/strings/string_view.h>

namespace catkinwing {

/// Fields by which a repeated request is recognized, independent of the entry
/// that forwards it.
struct RequestIdentity {
    absl::string_view host;
    /// Credentials of the request; empty if there are none.
    absl::string_view caller;
    absl::string_view method;
    absl::string_view path;
    absl::string_view query;
    absl::string_view body;
};

RequestFingerprint fingerprintOf(const RequestIdentity& identity);

} // namespace catkinwing
