#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

/// Largest size of a document.
constexpr std::size_t maximumDocumentBytes = 1000000;
/// Deepest nesting of objects and arrays in a document.
constexpr std::size_t maximumDocumentDepth = 12;
/// Most values in a document. This and the next bound the time that a document
/// full of faults takes; one full of endpoints meets maximumDocumentBytes first.
constexpr std::size_t maximumDocumentValues = 100000;
/// Most objects in a document.
constexpr std::size_t maximumDocumentObjects = 20000;
/// Longest name of a field; with the depth it bounds a fault's pointer.
constexpr std::size_t maximumFieldNameBytes = 64;
/// Most repeated fields that are reported.
constexpr std::size_t maximumRepeatedFields = 1000;

/// Reads JSON that comes from outside. Malformed text, what is beyond the
/// limits and repeated members are faults.
ConfigResult<nlohmann::json> parseJsonText(absl::string_view text);

} // namespace catkinwing
