#include "catkinwing/Config/ConfigDocument.h"

namespace catkinwing {

template <typename Document>
static ConfigResult<ConfigDocument> widen(ConfigResult<Document> result)
{
    ConfigResult<ConfigDocument> widened;
    widened.faults = std::move(result.faults);
    if (result.ok())
        widened.document = std::move(*result.document);
    return widened;
}

ConfigResult<ConfigDocument> parseDocument(const DocumentPath& path, absl::string_view text)
{
    switch (path.kind) {
    case DocumentKind::Global:
        break;
    case DocumentKind::Region:
        return widen(parseRegionDocument(path.name, text));
    case DocumentKind::Model:
        return widen(parseModelDocument(path.name, text));
    case DocumentKind::Team:
        return widen(parseTeamDocument(path.name, text));
    }
    return widen(parseGlobalDocument(text));
}

} // namespace catkinwing
