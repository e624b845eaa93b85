#include "catkinwing/Support/LineWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <cstddef>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace catkinwing {

// The descriptor is left in blocking mode: O_NONBLOCK belongs to the open file,
// which a shell or a supervisor may share. A pipe that polls as writable has
// room for PIPE_BUF bytes, so a write of at most that many doesn't wait. One
// whose reader is gone polls as writable and in error, and takes nothing.
static bool hasRoom(int descriptor)
{
    pollfd request { descriptor, POLLOUT, 0 };
    return poll(&request, 1, 0) == 1 && request.revents == POLLOUT;
}

bool LineWriter::flush()
{
    while (!m_rest.empty()) {
        if (!hasRoom(m_descriptor))
            return false;
        ssize_t written = ::write(m_descriptor, m_rest.data(), std::min<std::size_t>(m_rest.size(), PIPE_BUF));
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0) {
            // The reader is gone: what is left of the line goes with it.
            m_rest.clear();
            return false;
        }
        m_rest.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

bool LineWriter::write(std::string_view line)
{
    if (!flush() || !hasRoom(m_descriptor)) {
        ++m_dropped;
        return false;
    }
    m_rest = line;
    flush();
    return true;
}

std::uint64_t LineWriter::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace catkinwing
