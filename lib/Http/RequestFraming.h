// Where each HTTP/1 request on a connection ends, by a strict reading of RFC 9112.
#pragma once

#include <absl/strings/string_view.h>
#include <cstdint>
#include <deque>
#include <optional>

namespace catkinwing {

/// Why the end of a request is in doubt.
enum class FramingFault {
    None,
    RequestLine,
    Field,
    FoldedField,
    BareLineEnd,
    ContentLength,
    ContentLengthsDiffer,
    TransferEncoding,
    TransferEncodingRepeated,
    ContentLengthWithTransferEncoding,
    TransferEncodingInHttp10,
    Expectation,
    ChunkSize,
    ChunkLine,
    ChunkEnd,
    Trailer,
    /// What h2o takes as the request isn't what was read here.
    Mismatch,
};

/// Returns the name of a fault in metrics and logs.
const char* framingFaultName(FramingFault fault);

/// What the fields of a request's head say about its body.
struct RequestBodyFraming {
    FramingFault fault { FramingFault::None };
    bool isChunked { false };
    std::uint64_t length { 0 };
};

/// Reads the framing of the requests of one connection, as their bytes come in.
class RequestFraming {
public:
    /// Reads \p bytes, which begin with those that the last call left unread, and returns how many
    /// have been read. The rest begins a head or a line of a chunked body that isn't whole, or
    /// holds the fault.
    ///
    /// Rewrites two kinds of fields in place. A length that repeats itself becomes one number. The
    /// value of an Upgrade is blanked, since h2o would switch to HTTP/2, in a way that RFC 9113 no
    /// longer has and that intermediaries don't follow.
    std::size_t read(char* bytes, std::size_t size);

    FramingFault fault() const { return m_fault; }
    /// Tells whether the connection began with the preface of HTTP/2, which frames its own messages.
    bool isHttp2() const { return m_state == State::Http2; }
    /// Tells whether what is unread begins a head, and not only maybe the preface of HTTP/2.
    bool isHeadBegun() const { return m_state == State::Head; }
    /// Returns the length of the body of the next request that has been read to its end.
    std::optional<std::uint64_t> takeRequest();

private:
    enum class State { Start,
        Head,
        Body,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Http2 };

    std::size_t readUnit(char* bytes, std::size_t size);
    std::size_t readStart(char* bytes, std::size_t size);
    std::size_t readHead(char* bytes, std::size_t size);
    std::size_t readData(std::size_t size);
    std::size_t readChunkLine(absl::string_view bytes);
    void takeChunkLine(absl::string_view line);
    std::size_t fail(FramingFault fault);
    void beginBody(const RequestBodyFraming& framing);
    void endRequest();

    State m_state { State::Start };
    FramingFault m_fault { FramingFault::None };
    /// Bytes of the unfinished head that hold no end of it.
    std::size_t m_searched { 0 };
    std::uint64_t m_dataLeft { 0 };
    std::uint64_t m_bodyBytes { 0 };
    std::size_t m_trailerBytes { 0 };
    std::deque<std::uint64_t> m_requests;
};

/// Reads \p head, which ends with an empty line, and rewrites it as RequestFraming::read says.
RequestBodyFraming readRequestHead(char* head, std::size_t size);

} // namespace catkinwing
