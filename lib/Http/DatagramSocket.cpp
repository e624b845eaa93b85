#include "catkinwing/Http/DatagramSocket.h"

#include "EventLoopImpl.h"
#include "SocketAddressBytes.h"
#include <absl/strings/str_cat.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace catkinwing {

/// Longer datagrams are cut, and so can't be read.
static constexpr std::size_t maxDatagramBytes = 8u << 10;
/// Datagrams taken in one turn, so that a flood of them can't hold up the rest.
static constexpr int datagramsPerTurn = 64;

namespace {

    class LoopSocket final : public DatagramSocket {
    public:
        LoopSocket(EventLoop& loop, int descriptor, Receiver receiver)
            : m_loop(loop.impl())
            , m_descriptor(descriptor)
            , m_receiver(std::move(receiver))
            , m_watch(m_loop.watch(descriptor, [this] { receiveSome(); }))
        {
        }
        ~LoopSocket() override { m_loop.unwatch(m_watch); }
        LoopSocket(const LoopSocket&) = delete;
        LoopSocket& operator=(const LoopSocket&) = delete;

        void send(const SocketAddress& receiver, absl::string_view bytes) override
        {
            absl::StatusOr<SocketAddressBytes> address = toBytes(receiver);
            if (address.ok())
                static_cast<void>(sendto(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT, address->address(), address->length));
        }

        SocketAddress address() const override { return localAddressOf(m_descriptor); }

    private:
        void receiveSome()
        {
            for (int i = 0; i < datagramsPerTurn; ++i) {
                sockaddr_storage sender {};
                socklen_t length = sizeof(sender);
                ssize_t size = recvfrom(m_descriptor, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&sender), &length);
                if (size < 0)
                    return;
                m_receiver(fromBytes(sender), { m_buffer.data(), static_cast<std::size_t>(size) });
            }
        }

        EventLoop::Impl& m_loop;
        int m_descriptor;
        Receiver m_receiver;
        std::array<char, maxDatagramBytes> m_buffer {};
        EventLoop::Impl::Watch* m_watch;
    };

} // namespace

absl::StatusOr<std::unique_ptr<DatagramSocket>> DatagramSocket::bind(EventLoop& loop, const SocketAddress& address, Receiver receiver)
{
    absl::StatusOr<SocketAddressBytes> bytes = toBytes(address);
    if (!bytes.ok())
        return bytes.status();
    int descriptor = socket(bytes->storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool isBound = descriptor >= 0 && ::bind(descriptor, bytes->address(), bytes->length) == 0;
    if (isBound)
        return std::make_unique<LoopSocket>(loop, descriptor, std::move(receiver));
    absl::Status status = absl::UnavailableError(absl::StrCat("cannot bind datagrams to ", address.toString(), ": ", std::strerror(errno)));
    if (descriptor >= 0)
        ::close(descriptor);
    return status;
}

} // namespace catkinwing
