#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// An adapter that can be loaded on top of a model.
struct AdapterSettings {
    std::string name;
    double sizeMegabytes { 0 };
};

/// One model with its versions and adapters.
struct ModelDocument {
    std::string name;
    /// Versions that may be served, the preferred one first.
    std::vector<std::string> versions;
    std::vector<AdapterSettings> adapters;
    double sizeMegabytes { 0 };
    /// Cost of an output token relative to a prefill token.
    double outputWeight { 4 };
    /// Output tokens expected of a request until something better is known.
    std::int64_t defaultExpectedOutputTokens { 256 };
    /// Prompt and output tokens that a request may have together.
    std::int64_t maximumContextTokens { 8192 };
};

/// Reads the document `models/NAME` of the model \p name.
ConfigResult<ModelDocument> parseModelDocument(absl::string_view name, absl::string_view text);

} // namespace catkinwing
