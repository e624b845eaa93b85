#pragma once

#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/strings/string_view.h>

namespace catkinwing {

/// What makes two requests the same, whoever forwards them and however often
/// they come.
struct RequestIdentity {
    absl::string_view host;
    /// Credentials that the request carries; empty without any.
    absl::string_view caller;
    absl::string_view method;
    absl::string_view path;
    absl::string_view query;
    absl::string_view body;
};

RequestFingerprint fingerprintOf(const RequestIdentity& identity);

} // namespace catkinwing
