#include "catkinwing/Config/ModelDocument.h"

#include "ReadDocument.h"

namespace catkinwing {

static void readAdapter(const ObjectReader& reader, AdapterSettings& adapter)
{
    reader.read("name", adapter.name);
    reader.read("sizeMegabytes", adapter.sizeMegabytes);
}

static void readModel(const ObjectReader& reader, ModelDocument& document)
{
    reader.read("versions", document.versions);
    reader.reportRepeats("versions", document.versions);
    reader.readList("adapters", document.adapters, readAdapter);
    reader.reportRepeats("adapters", document.adapters, "name", nameOf<AdapterSettings>);
    reader.read("sizeMegabytes", document.sizeMegabytes);
    reader.read("outputWeight", document.outputWeight);
    reader.read("defaultExpectedOutputTokens", document.defaultExpectedOutputTokens);
    reader.read("maximumContextTokens", document.maximumContextTokens);
    if (document.defaultExpectedOutputTokens > document.maximumContextTokens)
        reader.report("defaultExpectedOutputTokens", "expected at most maximumContextTokens");
}

ConfigResult<ModelDocument> parseModelDocument(absl::string_view name, absl::string_view text)
{
    auto result = readDocument<ModelDocument>(SchemaKind::Model, text, readModel);
    if (result.ok())
        result.document->name = std::string(name);
    return result;
}

} // namespace catkinwing
