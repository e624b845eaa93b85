#include "RequestFraming.h"

#include "HeaderSyntax.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <cstring>
#include <optional>

namespace catkinwing {

static constexpr absl::string_view http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
// More digits might not fit the type of a size.
static constexpr std::size_t maxLengthDigits = 18;
static constexpr std::size_t maxChunkSizeDigits = 15;
static constexpr std::size_t maxChunkLineBytes = 4096;
static constexpr std::size_t maxTrailerBytes = 16u << 10;

const char* framingFaultName(FramingFault fault)
{
    switch (fault) {
    case FramingFault::None:
        return "none";
    case FramingFault::RequestLine:
        return "request_line";
    case FramingFault::Field:
        return "field";
    case FramingFault::FoldedField:
        return "folded_field";
    case FramingFault::BareLineEnd:
        return "bare_line_end";
    case FramingFault::ContentLength:
        return "content_length";
    case FramingFault::ContentLengthsDiffer:
        return "content_lengths_differ";
    case FramingFault::TransferEncoding:
        return "transfer_encoding";
    case FramingFault::TransferEncodingRepeated:
        return "transfer_encoding_repeated";
    case FramingFault::ContentLengthWithTransferEncoding:
        return "content_length_with_transfer_encoding";
    case FramingFault::TransferEncodingInHttp10:
        return "transfer_encoding_in_http_1_0";
    case FramingFault::Expectation:
        return "expectation";
    case FramingFault::ChunkSize:
        return "chunk_size";
    case FramingFault::ChunkLine:
        return "chunk_line";
    case FramingFault::ChunkEnd:
        return "chunk_end";
    case FramingFault::Trailer:
        return "trailer";
    case FramingFault::Mismatch:
        return "mismatch";
    }
    return "none";
}

static absl::string_view trimSpace(absl::string_view value)
{
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
        value.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
        value.remove_suffix(1);
    return value;
}

namespace {

    /// A field of a head. Its value is without the space around it.
    struct Field {
        absl::string_view name;
        absl::string_view value;
        /// All bytes between the colon and the end of the line.
        absl::string_view room;
    };

} // namespace

static FramingFault readField(absl::string_view line, Field& field)
{
    if (line.front() == ' ' || line.front() == '\t')
        return FramingFault::FoldedField;
    std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos)
        return FramingFault::Field;
    field.name = line.substr(0, colon);
    field.room = line.substr(colon + 1);
    field.value = trimSpace(field.room);
    return isFieldName(field.name) && isFieldValue(field.value) ? FramingFault::None : FramingFault::Field;
}

// Takes a line and its end, which is a carriage return and a line feed and nothing else.
static FramingFault takeLine(absl::string_view& bytes, absl::string_view& line)
{
    std::size_t end = bytes.find('\n');
    if (end == 0 || end == absl::string_view::npos || bytes[end - 1] != '\r')
        return FramingFault::BareLineEnd;
    line = bytes.substr(0, end - 1);
    bytes.remove_prefix(end + 1);
    return line.find('\r') == absl::string_view::npos ? FramingFault::None : FramingFault::BareLineEnd;
}

static bool isDigits(absl::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return absl::ascii_isdigit(c); });
}

// RFC 9112, section 6.3: a list of lengths counts as one length if all are the same.
static FramingFault readLengths(absl::string_view value, std::optional<std::uint64_t>& length)
{
    for (absl::string_view item : absl::StrSplit(value, ',')) {
        item = trimSpace(item);
        if (!isDigits(item) || item.size() > maxLengthDigits)
            return FramingFault::ContentLength;
        std::uint64_t number = 0;
        for (char digit : item)
            number = number * 10 + static_cast<std::uint64_t>(digit - '0');
        if (length && *length != number)
            return FramingFault::ContentLengthsDiffer;
        length = number;
    }
    return FramingFault::None;
}

namespace {

    /// Gathers what the fields of one head say.
    struct HeadReader {
        char* head { nullptr };
        bool isHttp10 { false };
        bool isChunked { false };
        bool expectsContinue { false };
        std::optional<std::uint64_t> length;

        FramingFault readRequestLine(absl::string_view line);
        FramingFault takeField(const Field& field);
        FramingFault takeTransferEncoding(const Field& field);
        void replaceValue(const Field& field, absl::string_view value) const;
        void replaceField(const Field& field) const;
    };

} // namespace

// h2o takes the space before a value away, but not that behind it.
void HeadReader::replaceValue(const Field& field, absl::string_view value) const
{
    char* room = head + (field.room.data() - head);
    char* newValue = room + (field.room.size() - value.size());
    std::memmove(newValue, value.data(), value.size());
    std::fill(room, newValue, ' ');
}

// Another length of zero changes nothing, and fits in the place of longer names.
void HeadReader::replaceField(const Field& field) const
{
    static constexpr absl::string_view noBody = "content-length:";
    char* line = head + (field.name.data() - head);
    char* end = head + (field.room.data() + field.room.size() - head);
    std::memcpy(line, noBody.data(), noBody.size());
    std::fill(line + noBody.size(), end, ' ');
    end[-1] = '0';
}

FramingFault HeadReader::readRequestLine(absl::string_view line)
{
    static constexpr absl::string_view protocol = "HTTP/1.";
    std::size_t first = line.find(' ');
    std::size_t second = line.find(' ', std::min(first, line.size() - 1) + 1);
    if (first == absl::string_view::npos || second == absl::string_view::npos)
        return FramingFault::RequestLine;
    absl::string_view version = line.substr(second + 1);
    bool isProtocol = absl::ConsumePrefix(&version, protocol) && version.size() == 1 && absl::ascii_isdigit(static_cast<unsigned char>(version[0]));
    isHttp10 = version == "0";
    bool isSound = isProtocol && isFieldName(line.substr(0, first)) && isRequestTarget(line.substr(first + 1, second - first - 1));
    return isSound ? FramingFault::None : FramingFault::RequestLine;
}

FramingFault HeadReader::takeTransferEncoding(const Field& field)
{
    if (isChunked)
        return FramingFault::TransferEncodingRepeated;
    if (!absl::EqualsIgnoreCase(field.value, "chunked"))
        return FramingFault::TransferEncoding;
    isChunked = true;
    replaceField(field);
    return FramingFault::None;
}

FramingFault HeadReader::takeField(const Field& field)
{
    if (absl::EqualsIgnoreCase(field.name, "transfer-encoding"))
        return takeTransferEncoding(field);
    if (absl::EqualsIgnoreCase(field.name, "content-length")) {
        FramingFault fault = readLengths(field.value, length);
        if (fault == FramingFault::None)
            replaceValue(field, "0");
        return fault;
    }
    if (absl::EqualsIgnoreCase(field.name, "expect")) {
        if (!absl::EqualsIgnoreCase(field.value, "100-continue"))
            return FramingFault::Expectation;
        expectsContinue = true;
        replaceField(field);
    }
    if (absl::EqualsIgnoreCase(field.name, "upgrade"))
        replaceValue(field, "");
    return FramingFault::None;
}

RequestBodyFraming readRequestHead(char* head, std::size_t size)
{
    RequestBodyFraming framing;
    HeadReader reader;
    reader.head = head;
    absl::string_view rest(head, size);
    absl::string_view line;
    framing.fault = takeLine(rest, line);
    // RFC 9112, section 2.2: one empty line before a request is passed over.
    if (framing.fault == FramingFault::None && line.empty())
        framing.fault = takeLine(rest, line);
    if (framing.fault == FramingFault::None)
        framing.fault = line.empty() ? FramingFault::RequestLine : reader.readRequestLine(line);
    while (framing.fault == FramingFault::None) {
        Field field;
        framing.fault = takeLine(rest, line);
        if (framing.fault != FramingFault::None || line.empty())
            break;
        framing.fault = readField(line, field);
        if (framing.fault == FramingFault::None)
            framing.fault = reader.takeField(field);
    }
    if (framing.fault != FramingFault::None)
        return framing;
    if (reader.isChunked && reader.length)
        framing.fault = FramingFault::ContentLengthWithTransferEncoding;
    else if (reader.isChunked && reader.isHttp10)
        framing.fault = FramingFault::TransferEncodingInHttp10;
    framing.isChunked = reader.isChunked;
    framing.length = reader.length.value_or(0);
    framing.expectsContinue = reader.expectsContinue && framing.hasBody();
    return framing;
}

std::size_t RequestFraming::fail(FramingFault fault)
{
    m_fault = fault;
    return 0;
}

// A connection on which HTTP/2 begins by prior knowledge sends the preface first.
std::size_t RequestFraming::readHead(char* bytes, std::size_t size)
{
    if (m_state == State::Http2)
        return size;
    if (m_state == State::Head)
        return readHeadLines(bytes, size);
    absl::string_view text(bytes, size);
    if (absl::StartsWith(text, http2Preface)) {
        m_state = State::Http2;
        return size;
    }
    if (absl::StartsWith(http2Preface, text))
        return 0;
    m_state = State::Head;
    return readHeadLines(bytes, size);
}

// The end of each line is looked at when it arrives, as h2o ends a head by other line ends, too.
std::size_t RequestFraming::readHeadLines(char* bytes, std::size_t size)
{
    absl::string_view text(bytes, size);
    std::size_t from = m_searched;
    for (std::size_t end = text.find('\n', from); end != absl::string_view::npos; end = text.find('\n', end + 1)) {
        if (end == 0 || bytes[end - 1] != '\r')
            return fail(FramingFault::BareLineEnd);
        // The line that may come before a request is at most one.
        bool isEmptyLine = end >= 3 && bytes[end - 2] == '\n';
        m_searched = end + 1;
        if (!isEmptyLine)
            continue;
        m_searched = 0;
        RequestBodyFraming framing = readRequestHead(bytes, end + 1);
        if (framing.fault != FramingFault::None)
            return fail(framing.fault);
        beginBody(framing);
        return end + 1;
    }
    std::size_t carriageReturn = text.find('\r', m_searched);
    bool isBare = carriageReturn != absl::string_view::npos && carriageReturn + 1 < size;
    return isBare ? fail(FramingFault::BareLineEnd) : 0;
}

void RequestFraming::beginBody(const RequestBodyFraming& framing)
{
    m_body = framing;
    m_trailerBytes = 0;
    m_dataLeft = framing.length;
    if (framing.isChunked)
        m_state = State::ChunkSize;
    else
        m_state = framing.length > 0 ? State::Body : State::Head;
}

void RequestFraming::takeData(std::size_t size)
{
    m_dataLeft -= size;
    if (m_dataLeft == 0)
        m_state = m_state == State::ChunkData ? State::ChunkEnd : State::Head;
}

std::size_t RequestFraming::readChunkLine(absl::string_view bytes)
{
    if (m_state == State::ChunkEnd && !absl::StartsWith("\r\n", bytes.substr(0, 2)))
        return fail(FramingFault::ChunkEnd);
    std::size_t end = bytes.find('\n');
    if (std::min(end, bytes.size()) > maxChunkLineBytes)
        return fail(FramingFault::ChunkLine);
    if (end == absl::string_view::npos)
        return 0;
    absl::string_view line;
    FramingFault fault = takeLine(bytes, line);
    if (fault != FramingFault::None)
        return fail(fault);
    takeChunkLine(line);
    return m_fault == FramingFault::None ? end + 1 : 0;
}

// The name of an extension follows its size by a semicolon, with space around it at most.
static FramingFault readChunkSize(absl::string_view line, std::uint64_t& size)
{
    std::size_t digits = 0;
    while (digits < line.size() && absl::ascii_isxdigit(static_cast<unsigned char>(line[digits])))
        ++digits;
    if (digits == 0 || digits > maxChunkSizeDigits)
        return FramingFault::ChunkSize;
    absl::string_view extension = line.substr(digits);
    absl::string_view trimmed = trimSpace(extension);
    bool isExtension = extension.empty() || (!trimmed.empty() && trimmed.front() == ';');
    if (!isExtension || !isFieldValue(extension))
        return FramingFault::ChunkLine;
    size = 0;
    for (char c : line.substr(0, digits)) {
        char digit = absl::ascii_tolower(static_cast<unsigned char>(c));
        size = size * 16 + static_cast<std::uint64_t>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
    }
    return FramingFault::None;
}

void RequestFraming::takeChunkLine(absl::string_view line)
{
    if (m_state == State::ChunkSize) {
        m_fault = readChunkSize(line, m_dataLeft);
        m_state = m_dataLeft > 0 ? State::ChunkData : State::Trailer;
        return;
    }
    if (m_state == State::ChunkEnd) {
        m_state = State::ChunkSize;
        return;
    }
    if (line.empty()) {
        m_state = State::Head;
        return;
    }
    Field field;
    m_trailerBytes += line.size();
    m_fault = readField(line, field);
    if (m_fault != FramingFault::None || m_trailerBytes > maxTrailerBytes)
        m_fault = FramingFault::Trailer;
}

} // namespace catkinwing
