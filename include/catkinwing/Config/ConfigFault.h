#pragma once

#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Something wrong in a document, at one place.
struct ConfigFault {
    /// JSON pointer of the offending value; empty for the whole document. For a
    /// missing field, the pointer that the field would have.
    std::string pointer;
    std::string message;

    friend bool operator==(const ConfigFault& a, const ConfigFault& b) { return a.pointer == b.pointer && a.message == b.message; }
};

/// A document, or every fault that keeps it from being one.
template <typename Document>
struct ConfigResult {
    /// Present exactly if there are no faults.
    std::optional<Document> document;
    std::vector<ConfigFault> faults;

    bool ok() const { return document.has_value(); }
};

} // namespace catkinwing
