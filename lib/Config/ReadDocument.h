#pragma once

#include "ObjectReader.h"
#include "ReadJson.h"
#include "SchemaCheck.h"

namespace catkinwing {

/// Reads a document by its schema and then by \p readMembers, which fills it
/// from an ObjectReader and reports what the schema can't say.
template <typename Document, typename ReadMembers>
ConfigResult<Document> readDocument(SchemaKind kind, absl::string_view text, ReadMembers readMembers)
{
    ConfigResult<Document> result;
    std::optional<nlohmann::json> json = readJson(text, result.faults);
    if (!json)
        return result;
    checkSchema(kind, *json, result.faults);
    Document document;
    readMembers(ObjectReader(*json, "", result.faults), document);
    if (result.faults.empty())
        result.document = std::move(document);
    return result;
}

} // namespace catkinwing
