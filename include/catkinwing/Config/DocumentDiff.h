#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// One place where two documents differ.
struct DocumentChange {
    /// JSON pointer, in the new document unless the value was removed.
    std::string pointer;
    /// Absent if the value was added.
    std::optional<nlohmann::json> oldValue;
    /// Absent if the value was removed.
    std::optional<nlohmann::json> newValue;
};

/// Returns what was changed between two documents read by parseJsonText.
/// Arrays are compared by position.
std::vector<DocumentChange> diffDocuments(const nlohmann::json& oldDocument, const nlohmann::json& newDocument);

/// Returns the changes as a JSON array of objects with `pointer`, `old` and `new`.
nlohmann::json toJson(const std::vector<DocumentChange>& changes);

} // namespace catkinwing
