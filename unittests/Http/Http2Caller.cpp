#include "Http2Caller.h"

#include <array>
#include <catch2/catch.hpp>
#include <openssl/ssl.h>

namespace catkinwing {

static constexpr std::size_t frameHeadBytes = 9;
static constexpr std::uint8_t flagEndStream = 1;
static constexpr std::uint8_t flagAck = 1;
static constexpr std::uint8_t flagEndHeaders = 4;

Http2Caller::Http2Caller(EventLoop& loop, const SocketAddress& server)
    : m_loop(loop)
    , m_connection(RawConnection::connect(server))
{
    REQUIRE(m_connection);
    start();
}

Http2Caller::Http2Caller(EventLoop& loop, const SocketAddress& server, const std::string& certificateFile, const std::string& keyFile)
    : m_loop(loop)
    , m_connection(RawConnection::connect(server))
{
    REQUIRE(m_connection);
    handshake(certificateFile, keyFile);
    start();
}

Http2Caller::~Http2Caller()
{
    SSL_free(m_tls);
}

void Http2Caller::handshake(const std::string& certificateFile, const std::string& keyFile)
{
    static const std::array<unsigned char, 12> protocols { 2, 'h', '2', 8, 'h', 't', 't', 'p', '/', '1', '.', '1' };
    SSL_CTX* context = SSL_CTX_new(TLS_client_method());
    REQUIRE(SSL_CTX_use_certificate_file(context, certificateFile.c_str(), SSL_FILETYPE_PEM) == 1);
    REQUIRE(SSL_CTX_use_PrivateKey_file(context, keyFile.c_str(), SSL_FILETYPE_PEM) == 1);
    SSL_CTX_set_alpn_protos(context, protocols.data(), protocols.size());
    m_tls = SSL_new(context);
    SSL_CTX_free(context);
    SSL_set_fd(m_tls, m_connection->descriptor());
    REQUIRE(runUntil(m_loop, [&] { return SSL_connect(m_tls) == 1; }));
}

std::string Http2Caller::negotiatedProtocol() const
{
    const unsigned char* name = nullptr;
    unsigned length = 0;
    SSL_get0_alpn_selected(m_tls, &name, &length);
    return std::string(reinterpret_cast<const char*>(name), length);
}

void Http2Caller::start()
{
    sendBytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    sendFrame(FrameType::Settings, 0, 0, {});
}

static std::string bigEndian(std::uint32_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(value >> shift));
    return text;
}

void Http2Caller::sendFrame(FrameType type, std::uint8_t flags, std::uint32_t stream, const std::string& payload)
{
    std::string frame = bigEndian(static_cast<std::uint32_t>(payload.size()), 3);
    frame.push_back(static_cast<char>(type));
    frame.push_back(static_cast<char>(flags));
    sendBytes(frame + bigEndian(stream, 4) + payload);
}

void Http2Caller::sendBytes(const std::string& bytes)
{
    if (m_tls)
        REQUIRE(SSL_write(m_tls, bytes.data(), static_cast<int>(bytes.size())) == static_cast<int>(bytes.size()));
    else
        m_connection->send(bytes);
}

// Indexed fields and literals without indexing, as RFC 7541 has them.
void Http2Caller::sendHeaders(std::uint32_t stream, const std::string& path, bool endsStream)
{
    std::string block = endsStream ? "\x82" : "\x83";
    block += m_tls ? "\x87" : "\x86";
    block += std::string("\x04") + static_cast<char>(path.size()) + path;
    block += std::string("\x01\x01") + "a";
    sendFrame(FrameType::Headers, flagEndHeaders | (endsStream ? flagEndStream : 0), stream, block);
}

void Http2Caller::sendData(std::uint32_t stream, const std::string& bytes, bool endsStream)
{
    sendFrame(FrameType::Data, endsStream ? flagEndStream : 0, stream, bytes);
}

void Http2Caller::sendReset(std::uint32_t stream)
{
    static constexpr std::uint32_t cancelCode = 8;
    sendFrame(FrameType::ResetStream, 0, stream, bigEndian(cancelCode, 4));
}

void Http2Caller::sendWindowUpdate(std::uint32_t stream, std::uint32_t bytes)
{
    sendFrame(FrameType::WindowUpdate, 0, stream, bigEndian(bytes, 4));
}

void Http2Caller::receive()
{
    if (!m_tls) {
        m_connection->receive();
        m_input += m_connection->received();
        m_connection->clear();
        return parse();
    }
    std::array<char, 16384> buffer;
    int count = 0;
    while ((count = SSL_read(m_tls, buffer.data(), buffer.size())) > 0)
        m_input.append(buffer.data(), static_cast<std::size_t>(count));
    m_isTlsClosed = SSL_get_error(m_tls, count) != SSL_ERROR_WANT_READ;
    parse();
}

static std::uint32_t readBigEndian(const std::string& bytes, std::size_t position, std::size_t count)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < count; ++i)
        value = value << 8 | static_cast<unsigned char>(bytes[position + i]);
    return value;
}

void Http2Caller::parse()
{
    while (m_input.size() >= frameHeadBytes) {
        std::size_t length = readBigEndian(m_input, 0, 3);
        if (m_input.size() < frameHeadBytes + length)
            return;
        auto type = static_cast<FrameType>(m_input[3]);
        auto flags = static_cast<std::uint8_t>(m_input[4]);
        bool canEnd = type == FrameType::Data || type == FrameType::Headers;
        m_frames.push_back({ type, canEnd && (flags & flagEndStream), readBigEndian(m_input, 5, 4), m_input.substr(frameHeadBytes, length) });
        m_input.erase(0, frameHeadBytes + length);
        if (type == FrameType::Settings && !(flags & flagAck))
            sendFrame(FrameType::Settings, flagAck, 0, {});
    }
}

bool Http2Caller::receiveUntil(const std::function<bool()>& condition)
{
    return runUntil(m_loop, [&] {
        receive();
        return condition();
    });
}

const Http2Frame* Http2Caller::find(FrameType type, std::uint32_t stream) const
{
    for (const auto& frame : m_frames) {
        if (frame.type == type && frame.stream == stream)
            return &frame;
    }
    return nullptr;
}

std::string Http2Caller::bodyOf(std::uint32_t stream) const
{
    std::string body;
    for (const auto& frame : m_frames) {
        if (frame.type == FrameType::Data && frame.stream == stream)
            body += frame.payload;
    }
    return body;
}

bool Http2Caller::hasEnded(std::uint32_t stream) const
{
    for (const auto& frame : m_frames) {
        if (frame.stream == stream && frame.endsStream)
            return true;
    }
    return false;
}

} // namespace catkinwing
