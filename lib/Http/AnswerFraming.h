// How the end of an answer's body is told to its client.
#pragma once

#include <cstddef>
#include <string>

namespace catkinwing {

enum class AnswerFraming {
    /// The head is the whole answer.
    NoBody,
    Length,
    Chunks,
    /// The body ends with the connection, so that only a reset tells a part of it from the whole.
    ConnectionEnd,
    /// HTTP/2 frames.
    Frames,
};

/// What the framing of an answer depends on.
struct AnswerTraits {
    /// The client's, in h2o's form: major version in the high byte, minor version in the low one.
    int httpVersion { 0 };
    int status { 0 };
    bool isForHead { false };
    /// The head states the length of the body.
    bool hasLength { false };
};

/// Returns whether the answer has a body, whatever its head states (RFC 9110, section 6.4.1).
bool hasBody(const AnswerTraits& traits);
/// Returns the framing of an answer (RFC 9112, section 6.3, and RFC 9113, section 8.1).
AnswerFraming framingOf(const AnswerTraits& traits);

/// Returns the line that begins a chunk of \p bytes, more than 0.
std::string chunkSizeLine(std::size_t bytes);

} // namespace catkinwing
