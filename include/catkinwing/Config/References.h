#pragma once

#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Config/DocumentPath.h"
#include <string>
#include <vector>

namespace catkinwing {

/// A reference across documents that leads nowhere or is ambiguous. It never
/// makes a document invalid: just the requests that need it are refused.
struct ConfigWarning {
    DocumentPath path;
    /// JSON pointer of the reference in the document at `path`.
    std::string pointer;
    std::string message;
};

/// Returns the unresolved references of all documents, in the order of their paths.
std::vector<ConfigWarning> findUnresolvedReferences(const ConfigSnapshot& snapshot);

/// Returns what \p settings names that \p snapshot does not know; the pointers
/// are those of the settings file.
std::vector<ConfigFault> findUnresolvedReferences(const DaemonSettings& settings, const ConfigSnapshot& snapshot);

} // namespace catkinwing
