#pragma once

#include "catkinwing/Config/DocumentPath.h"
#include "catkinwing/Config/GlobalDocument.h"
#include "catkinwing/Config/ModelDocument.h"
#include "catkinwing/Config/RegionDocument.h"
#include "catkinwing/Config/TeamDocument.h"
#include <variant>

namespace catkinwing {

/// Any document of the configuration tree.
using ConfigDocument = std::variant<GlobalDocument, RegionDocument, ModelDocument, TeamDocument>;

/// Reads the document at \p path. Returns a result for any text whatever.
ConfigResult<ConfigDocument> parseDocument(const DocumentPath& path, absl::string_view text);

} // namespace catkinwing
