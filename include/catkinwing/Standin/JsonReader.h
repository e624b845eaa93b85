#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace catkinwing::standin {

/// Parses \p text as one JSON object; InvalidArgument otherwise. Blank text is the empty object.
absl::StatusOr<nlohmann::json> parseJsonObject(absl::string_view text);

/// Reads a length of time such as "250ms" or "1.5s".
absl::StatusOr<Duration> parseDuration(const std::string& text);

/// Reads typed fields of a JSON object. A field that is absent reads as its
/// zero value; the first field of a wrong type is kept in status().
class JsonReader {
public:
    explicit JsonReader(const nlohmann::json& object)
        : m_object(object)
    {
    }

    std::string text(const char* name);
    std::vector<std::string> texts(const char* name);
    /// Reads base64, as proto3 JSON writes bytes.
    std::string bytes(const char* name);
    /// Reads a number or its decimal text, as proto3 JSON writes 64-bit integers.
    std::int64_t integer(const char* name);
    double number(const char* name, double fallback);
    bool flag(const char* name);
    /// Reads a length of time such as "250ms".
    Duration duration(const char* name);
    /// Returns the object of that name, or null.
    const nlohmann::json* object(const char* name);
    /// Returns the array of that name, or null.
    const nlohmann::json* array(const char* name);
    /// Returns OK, or InvalidArgument naming the first field of a wrong type.
    const absl::Status& status() const { return m_status; }

private:
    const nlohmann::json* find(const char* name) const;
    void fail(const char* name, const char* expected);

    const nlohmann::json& m_object;
    absl::Status m_status;
};

} // namespace catkinwing::standin
