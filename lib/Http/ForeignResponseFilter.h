// Passes over responses to earlier requests of a connection.
#pragma once

#include "RequestFraming.h"
#include <absl/strings/string_view.h>
#include <string>

namespace catkinwing {

/// Reads the input of a connection up to the response to the last request. Servers repeat a field of
/// the request in their responses; one in which it has another value belongs to an earlier request.
class ForeignResponseFilter {
public:
    enum class Verdict {
        /// All of the input belongs to other requests.
        NeedsInput,
        /// The next response isn't known to belong to another request. Its head may not be whole yet.
        Pass,
        /// The next response belongs to another request, and its end can't be relied on.
        Unreadable,
    };

    /// Without \p mayPassOver each response of another request is unreadable.
    ForeignResponseFilter(std::string field, absl::string_view value, bool mayPassOver);

    /// Reads \p input, which is what the last call left and what has come in since. Sets \p passedOver
    /// to the number of bytes at its beginning that belong to other requests.
    Verdict read(absl::string_view input, std::size_t& passedOver);
    /// Returns the number of responses of other requests, the one that is being read included.
    unsigned responses() const { return m_responses; }

private:
    std::string m_field;
    std::string m_value;
    bool m_mayPassOver;
    /// Chunks and lengths are the same in both directions.
    RequestFraming m_body { false };
    unsigned m_responses { 0 };
    std::size_t m_bytes { 0 };
};

} // namespace catkinwing
