// The messages of the client, as they are on the wire and for its users.
#pragma once

#include "H2o.h"
#include "catkinwing/Http/HttpClient.h"

namespace catkinwing {

/// How the end of a body is known.
enum class BodyFraming {
    ContentLength,
    Chunked,
    UntilClose,
};

/// Tells whether \p request can be sent without breaking its own framing.
bool isValidRequest(const HttpClientRequest& request);
/// Returns the request line and header fields, up to the body.
std::string makeRequestHead(const HttpClientRequest& request);
/// Copies what h2o has parsed.
HttpResponseHead makeResponseHead(int status, const h2o_header_t* fields, std::size_t fieldCount);
/// Returns why the length of the body can't be relied on, or null.
const char* framingFault(const HttpResponseHead& head);
/// Returns how the body of a faultless response is framed.
BodyFraming framingOf(const HttpResponseHead& head);

} // namespace catkinwing
