#include "KeepAlive.h"

#include <algorithm>

namespace catkinwing {

using std::chrono::seconds;

// The kernel gives up when nothing was received for TCP_USER_TIMEOUT and a probe is
// unanswered, whatever TCP_KEEPCNT says. If the first probe came as late as the timeout, a
// single lost packet would close the connection of a caller that is well.
KeepAliveTimes keepAliveTimes(std::chrono::milliseconds timeout)
{
    constexpr int idleDivisor = 2;
    constexpr int intervalDivisor = 6;
    auto part = [timeout](int divisor) { return std::max(std::chrono::duration_cast<seconds>(timeout / divisor), seconds(1)); };
    return { part(idleDivisor), part(intervalDivisor) };
}

} // namespace catkinwing
