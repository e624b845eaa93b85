#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <string>
#include <tuple>

namespace catkinwing {

/// Kinds of document in the configuration tree.
enum class DocumentKind {
    Global,
    Region,
    Model,
    Team,
};

/// Place of a document in the configuration tree.
struct DocumentPath {
    DocumentKind kind { DocumentKind::Global };
    /// Name of the region, model or team; empty for the global document.
    std::string name;

    /// Returns "global", "regions/NAME", "models/NAME" or "teams/NAME".
    std::string toString() const;
    friend bool operator==(const DocumentPath& a, const DocumentPath& b) { return a.kind == b.kind && a.name == b.name; }
    friend bool operator!=(const DocumentPath& a, const DocumentPath& b) { return !(a == b); }
    friend bool operator<(const DocumentPath& a, const DocumentPath& b) { return std::tie(a.kind, a.name) < std::tie(b.kind, b.name); }
};

/// Reads what DocumentPath::toString writes; anything else is InvalidArgument.
absl::StatusOr<DocumentPath> parseDocumentPath(absl::string_view text);

/// Returns whether \p name has 1 to 63 lower-case letters, digits and hyphens.
bool isDocumentName(absl::string_view name);

/// Returns the folder of a kind's documents, such as "regions"; empty for the global document.
const char* documentFolder(DocumentKind kind);

} // namespace catkinwing
