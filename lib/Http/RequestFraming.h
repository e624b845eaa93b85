// Where each HTTP/1 request on a connection ends, by a strict reading of RFC 9112.
#pragma once

#include <absl/strings/string_view.h>
#include <algorithm>
#include <cstdint>

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
    /// The client waits for an interim response before it sends the body.
    bool expectsContinue { false };

    bool hasBody() const { return isChunked || length > 0; }
};

/// Reads the framing of the requests of one connection, as their bytes come in: the head and the
/// body of a request in turn.
class RequestFraming {
public:
    /// Without \p allowsHttp2 the preface of HTTP/2 is a request line that holds a fault.
    explicit RequestFraming(bool allowsHttp2 = true)
        : m_state(allowsHttp2 ? State::Start : State::Head)
    {
    }

    /// Reads a head at the beginning of \p bytes, which are those of the last call and what has come
    /// in since, and returns its size. Returns 0 if it isn't whole yet or holds a fault; all bytes of
    /// HTTP/2 count as read.
    ///
    /// Rewrites the head in place, so that h2o takes the request for one without a body: lengths
    /// become zero, as do codings and expectations. The value of an Upgrade is blanked, since h2o
    /// would switch to HTTP/2, in a way that RFC 9113 no longer has and that intermediaries don't
    /// follow.
    std::size_t readHead(char* bytes, std::size_t size);

    /// Reads on in the body of the request whose head was read last, and returns how many bytes have
    /// been read. Bytes of the body go to \p sink, which returns how many it takes; what it leaves
    /// and all that follows isn't read. The rest otherwise begins a line of a chunked body that isn't
    /// whole, holds a fault, or follows the body.
    template <typename Sink>
    std::size_t readBody(absl::string_view bytes, Sink&& sink);

    /// Begins a body with \p framing, whose head was read elsewhere.
    void beginBody(const RequestBodyFraming& framing);

    FramingFault fault() const { return m_fault; }
    /// Tells whether the connection began with the preface of HTTP/2, which frames its own messages.
    bool isHttp2() const { return m_state == State::Http2; }
    /// Tells whether what is unread begins a head, and not only maybe the preface of HTTP/2.
    bool isHeadBegun() const { return m_state == State::Head; }
    bool isInBody() const { return m_state != State::Start && m_state != State::Head && m_state != State::Http2; }
    /// Returns what the last head said about its body.
    const RequestBodyFraming& body() const { return m_body; }

private:
    enum class State { Start,
        Head,
        Body,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Http2 };

    std::size_t readHeadLines(char* bytes, std::size_t size);
    std::size_t readChunkLine(absl::string_view bytes);
    void takeChunkLine(absl::string_view line);
    std::size_t fail(FramingFault fault);
    void takeData(std::size_t size);

    State m_state;
    FramingFault m_fault { FramingFault::None };
    /// Bytes of the unfinished head that hold no end of it.
    std::size_t m_searched { 0 };
    RequestBodyFraming m_body;
    std::uint64_t m_dataLeft { 0 };
    std::size_t m_trailerBytes { 0 };
};

template <typename Sink>
std::size_t RequestFraming::readBody(absl::string_view bytes, Sink&& sink)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && m_fault == FramingFault::None && isInBody()) {
        bool isData = m_state == State::Body || m_state == State::ChunkData;
        std::size_t count = 0;
        if (isData) {
            absl::string_view data = bytes.substr(taken, static_cast<std::size_t>(std::min<std::uint64_t>(m_dataLeft, bytes.size() - taken)));
            count = sink(data);
            takeData(count);
            if (count < data.size())
                return taken + count;
        } else {
            count = readChunkLine(bytes.substr(taken));
        }
        if (count == 0)
            break;
        taken += count;
    }
    return taken;
}

/// Reads \p head, which ends with an empty line, and rewrites it as RequestFraming::readHead says.
RequestBodyFraming readRequestHead(char* head, std::size_t size);

} // namespace catkinwing
