#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <absl/strings/string_view.h>
#include <memory>
#include <string>
#include <vector>

namespace catkinwing {

/// One header field; names compare without regard to case.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// The header fields of a message, in their order.
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    /// Appends a field.
    void add(std::string name, std::string value);
    /// Replaces all fields of that name by one.
    void set(std::string name, std::string value);
    void remove(absl::string_view name);
    /// Returns the first value of that name, or null.
    const std::string* find(absl::string_view name) const;
    const std::vector<HttpHeader>& fields() const { return m_fields; }

private:
    std::vector<HttpHeader> m_fields;
};

/// A request as a server got it, whole.
struct HttpRequest {
    std::string method;
    /// Path without the query, as sent (percent-encoding kept).
    std::string path;
    /// What follows the question mark; empty if there is none.
    std::string query;
    HttpHeaders headers;
    std::string body;
    /// Address the connection came from.
    SocketAddress caller;
    /// Common name of the verified client certificate; empty without one.
    std::string certificateName;
    /// Keeps the body counted as held for the client.
    std::vector<std::shared_ptr<const void>> held;
};

/// Status line and header fields of a response.
struct HttpResponseHead {
    int status { 0 };
    HttpHeaders headers;
};

/// Returns whether the response has neither a length nor chunks, so that its body ends with the
/// connection. Nothing tells then whether the body is whole.
bool endsWithConnection(const HttpResponseHead& head);

} // namespace catkinwing
