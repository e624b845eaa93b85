#include "SchemaCheck.h"

#include "EmbeddedSchemas.h"
#include "JsonPointer.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>
#include <cassert>
#include <optional>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace catkinwing {

namespace {

    using nlohmann::json;
    using valijson::adapters::NlohmannJsonAdapter;

    /// Longest string in a document. The library's patterns run on std::regex,
    /// whose stack grows with the string.
    constexpr std::size_t maximumStringBytes = 1024;

    /// The library names a forbidden member only in its message and stops at the
    /// first; by a schema that nothing satisfies it reports each at its place.
    void expandAdditionalProperties(json& schema)
    {
        if (schema.is_object() && schema.value("additionalProperties", json()) == false)
            schema["additionalProperties"] = { { "not", json::object() } };
        if (!schema.is_structured())
            return;
        for (json& child : schema)
            expandAdditionalProperties(child);
    }

    /// One published schema, ready for use.
    class CompiledSchema {
    public:
        explicit CompiledSchema(const char* text)
            : m_source(json::parse(text))
        {
            json expanded = m_source;
            expandAdditionalProperties(expanded);
            valijson::SchemaParser parser;
            parser.populateSchema(NlohmannJsonAdapter(expanded), m_schema);
        }

        void validate(const json& document, valijson::ValidationResults& results)
        {
            m_validator.validate(m_schema, NlohmannJsonAdapter(document), &results);
        }
        const json& source() const { return m_source; }

    private:
        json m_source;
        valijson::Schema m_schema;
        valijson::Validator m_validator;
    };

    CompiledSchema& schemaFor(SchemaKind kind)
    {
        static thread_local CompiledSchema global(globalSchemaText);
        static thread_local CompiledSchema region(regionSchemaText);
        static thread_local CompiledSchema model(modelSchemaText);
        static thread_local CompiledSchema team(teamSchemaText);
        static thread_local CompiledSchema daemon(daemonSchemaText);
        switch (kind) {
        case SchemaKind::Global:
            return global;
        case SchemaKind::Region:
            return region;
        case SchemaKind::Model:
            return model;
        case SchemaKind::Team:
            return team;
        case SchemaKind::Daemon:
            break;
        }
        return daemon;
    }

    /// Replaces overlong strings by null. Recursion ends at the depth that
    /// readJson allows.
    void dropOverlongStrings(json& value, const std::string& pointer, std::vector<ConfigFault>& faults)
    {
        if (value.is_string() && value.get_ref<const std::string&>().size() > maximumStringBytes) {
            faults.push_back({ pointer, absl::StrCat("longer than ", maximumStringBytes, " bytes") });
            value = nullptr;
        }
        if (value.is_object()) {
            for (auto& member : value.items())
                dropOverlongStrings(member.value(), memberPointer(pointer, member.key()), faults);
        }
        if (value.is_array()) {
            for (std::size_t i = 0; i < value.size(); ++i)
                dropOverlongStrings(value[i], itemPointer(pointer, i), faults);
        }
    }

    /// Returns \p node, or what its reference leads to.
    const json& resolve(const json& root, const json& node)
    {
        auto reference = node.find("$ref");
        if (reference == node.end())
            return node;
        absl::string_view target = reference->get_ref<const std::string&>();
        bool isLocal = absl::ConsumePrefix(&target, "#/definitions/");
        assert(isLocal && "the published schemas refer to their own definitions alone");
        static_cast<void>(isLocal);
        return root.at("definitions").at(std::string(target));
    }

    /// Says in words what a schema accepts.
    std::string describe(const json& schema)
    {
        if (schema.contains("title"))
            return schema.at("title").get<std::string>();
        if (schema.contains("enum")) {
            auto values = schema.at("enum").get<std::vector<std::string>>();
            return absl::StrCat("one of ", absl::StrJoin(values, ", "));
        }
        std::string text = schema.value("type", "value");
        if (schema.contains("exclusiveMinimum"))
            absl::StrAppend(&text, " above ", schema.at("exclusiveMinimum").dump());
        if (schema.contains("minimum"))
            absl::StrAppend(&text, " from ", schema.at("minimum").dump());
        if (schema.contains("maximum"))
            absl::StrAppend(&text, " up to ", schema.at("maximum").dump());
        if (schema.contains("minItems"))
            absl::StrAppend(&text, " with at least ", schema.at("minItems").dump(), " item");
        return text;
    }

    /// Strips the brackets that the library puts around a step of a context.
    std::string stepName(const std::string& step)
    {
        return step.substr(1, step.size() - 2);
    }

    /// Where a violation stands, and the schema that holds there.
    struct Place {
        std::string pointer;
        const json* schema;
    };

    /// Follows a context of the library, whose first step is the root.
    Place locate(const json& root, const std::vector<std::string>& context)
    {
        static const json unknown = json::object();
        Place place { "", &root };
        for (std::size_t i = 1; i < context.size(); ++i) {
            std::string step = stepName(context[i]);
            place.pointer = memberPointer(place.pointer, step);
            const json& parent = *place.schema;
            if (parent.contains("properties"))
                place.schema = parent.at("properties").contains(step) ? &parent.at("properties").at(step) : &unknown;
            else
                place.schema = parent.contains("items") ? &parent.at("items") : &unknown;
            place.schema = &resolve(root, *place.schema);
        }
        return place;
    }

    /// Whether the library only repeats for a parent what it said of a child.
    bool isEcho(absl::string_view description)
    {
        return absl::StartsWith(description, "Failed to validate against schema associated with property name")
            || absl::StartsWith(description, "Failed to validate item #")
            || absl::StartsWith(description, "Failed to validate against additional properties schema");
    }

    /// Returns the field that the library says is missing, if it says so.
    std::optional<std::string> missingField(absl::string_view description)
    {
        if (!absl::ConsumePrefix(&description, "Missing required property '") || !absl::ConsumeSuffix(&description, "'."))
            return std::nullopt;
        return std::string(description);
    }

    ConfigFault toFault(const json& root, const valijson::ValidationResults::Error& error)
    {
        Place place = locate(root, error.context);
        if (auto field = missingField(error.description))
            return { memberPointer(place.pointer, *field), "the field is required" };
        if (absl::StrContains(error.description, "'not' constraint"))
            return { place.pointer, "unknown field" };
        return { place.pointer, absl::StrCat("expected ", describe(*place.schema)) };
    }

} // namespace

void checkSchema(SchemaKind kind, json& document, std::vector<ConfigFault>& faults)
{
    dropOverlongStrings(document, "", faults);
    CompiledSchema& schema = schemaFor(kind);
    valijson::ValidationResults results;
    schema.validate(document, results);
    for (const auto& error : results) {
        if (isEcho(error.description))
            continue;
        ConfigFault fault = toFault(schema.source(), error);
        // A value of the wrong type often misses further demands.
        if (faults.empty() || !(faults.back() == fault))
            faults.push_back(std::move(fault));
    }
}

} // namespace catkinwing
