#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Config/DocumentPath.h"
#include <memory>
#include <string>
#include <vector>

namespace catkinwing {

/// A document read from a file.
struct LoadedDocument {
    DocumentPath path;
    std::string text;
};

/// What is wrong with one file or folder.
struct FileFaults {
    /// Relative to the folder that was loaded.
    std::string file;
    std::vector<ConfigFault> faults;
};

/// The configuration tree as read from a folder.
struct LoadedTree {
    /// The valid documents, in the order of their paths.
    std::vector<LoadedDocument> documents;
    std::vector<FileFaults> faults;
    /// The valid documents, parsed.
    std::shared_ptr<const ConfigSnapshot> snapshot;

    bool ok() const { return faults.empty(); }
};

/// Reads `global.json`, `regions/*.json`, `models/*.json` and `teams/*.json`.
/// Files and folders whose names begin with a dot are passed over.
LoadedTree loadTree(const std::string& folder);

} // namespace catkinwing
