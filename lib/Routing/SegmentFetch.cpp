#include "catkinwing/Routing/SegmentFetch.h"

#include <cmath>

namespace catkinwing {

/// Fraction of the prefill time that a transfer may take. A transfer that is predicted to take
/// longer may in fact take as long as the prefill, since other entries also start transfers.
static constexpr double maxTransferFraction = 0.5;
/// Longer predicted transfers are of no use to any request.
static constexpr std::chrono::duration<double> maxTransferTime = std::chrono::minutes(1);

std::optional<Duration> transferTime(const SegmentTransfer& transfer, std::int64_t tokens, unsigned transfers)
{
    constexpr double bitsPerByte = 8;
    bool isPossible = transfer.tokenBytes > 0 && std::isfinite(transfer.bitsPerSecond) && transfer.bitsPerSecond > 0 && tokens > 0;
    if (!isPossible)
        return std::nullopt;
    double bits = static_cast<double>(tokens) * static_cast<double>(transfer.tokenBytes) * bitsPerByte;
    std::chrono::duration<double> time(bits / transfer.bitsPerSecond * (transfers + 1.0));
    if (time > maxTransferTime)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(time);
}

std::optional<std::size_t> chooseFetchSource(absl::Span<const SegmentSource> sources, const SegmentTransfer& transfer, std::int64_t tokens, Duration prefillTime)
{
    const SegmentSource* best = nullptr;
    for (const SegmentSource& source : sources) {
        std::optional<Duration> time = transferTime(transfer, tokens, source.transfers);
        if (!time || *time > std::chrono::duration_cast<Duration>(prefillTime * maxTransferFraction))
            continue;
        bool isBetter = !best || source.transfers < best->transfers || (source.transfers == best->transfers && source.wait < best->wait);
        if (isBetter)
            best = &source;
    }
    return best ? std::optional<std::size_t>(best->index) : std::nullopt;
}

} // namespace catkinwing
