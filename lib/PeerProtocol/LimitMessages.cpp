#include "catkinwing/PeerProtocol/LimitMessages.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;
using std::chrono::milliseconds;

/// Members of the message: kind, ID, retry-after time, rows.
static constexpr std::size_t messageMembers = 4;
static constexpr double unitsPerRequest = 1'000;
/// Stands for an endpoint without a limit.
static constexpr std::uint32_t noLimit = UINT32_MAX;

static std::uint32_t toCount(milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(time.count(), 0, UINT32_MAX));
}

static std::uint32_t toUnits(const std::optional<double>& perSecond)
{
    return perSecond ? static_cast<std::uint32_t>(std::clamp<double>(std::floor(*perSecond * unitsPerRequest), 0, noLimit - 1)) : noLimit;
}

std::string encodeLimitMessage(const LimitMessage& message)
{
    json rows = json::array();
    for (const LimitRow& row : message.rows)
        appendCounts(rows, { row.endpoint, toUnits(row.perSecond), toCount(row.age) });
    std::string bytes(1, limitMessageMark);
    json::to_cbor(json::array({ static_cast<std::uint32_t>(message.kind), message.id, toCount(message.retryAfter), std::move(rows) }), bytes);
    return bytes;
}

absl::StatusOr<LimitMessage> decodeLimitMessage(absl::string_view bytes)
{
    if (bytes.empty() || bytes.front() != limitMessageMark)
        return absl::InvalidArgumentError("not a limit message: its first byte is another one");
    json fields = parseCbor(bytes.substr(1));
    bool isMessage = fields.is_array() && fields.size() == messageMembers;
    std::optional<std::vector<CountRow<3>>> numbers = isMessage ? readCounts<3>(json::array({ fields[0], fields[1], fields[2] })) : std::nullopt;
    std::optional<std::vector<CountRow<3>>> rows = isMessage ? readCounts<3>(fields[3]) : std::nullopt;
    bool isValid = numbers && rows && rows->size() <= maxLimitRows && numbers->front()[0] <= static_cast<std::uint32_t>(LimitMessageKind::Reply);
    if (!isValid)
        return absl::InvalidArgumentError("a limit message can't be read");
    auto [kind, id, retryAfter] = numbers->front();
    LimitMessage message { static_cast<LimitMessageKind>(kind), id, milliseconds(retryAfter), {} };
    for (const CountRow<3>& row : *rows) {
        std::optional<double> perSecond = row[1] == noLimit ? std::nullopt : std::optional<double>(row[1] / unitsPerRequest);
        message.rows.push_back({ row[0], perSecond, milliseconds(row[2]) });
    }
    return message;
}

} // namespace catkinwing
