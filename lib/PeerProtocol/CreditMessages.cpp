#include "catkinwing/PeerProtocol/CreditMessages.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Members of the message: kind, ID, elapsed time, entries, rows.
static constexpr std::size_t messageMembers = 5;
static constexpr unsigned halfBits = 32;

static std::uint32_t toCount(std::chrono::milliseconds::rep number)
{
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(number, 0, UINT32_MAX));
}

std::uint32_t toCreditCount(double amount)
{
    return static_cast<std::uint32_t>(std::clamp<double>(std::ceil(amount), 0, UINT32_MAX));
}

std::string encodeCreditMessage(const CreditMessage& message)
{
    json rows = json::array();
    for (const CreditRow& row : message.rows)
        appendCounts(rows, { static_cast<std::uint32_t>(row.workspace >> halfBits), static_cast<std::uint32_t>(row.workspace), row.amount, row.maxAmount, toCount(row.time.count()) });
    std::string bytes(1, creditMessageMark);
    json::to_cbor(json::array({ static_cast<std::uint32_t>(message.kind), message.id, toCount(message.elapsed.count()), message.entries, std::move(rows) }), bytes);
    return bytes;
}

absl::StatusOr<CreditMessage> decodeCreditMessage(absl::string_view bytes)
{
    if (bytes.empty() || bytes.front() != creditMessageMark)
        return absl::InvalidArgumentError("not a credit message: its first byte is another one");
    json fields = parseCbor(bytes.substr(1));
    bool isMessage = fields.is_array() && fields.size() == messageMembers && fields[1].is_number_unsigned();
    std::optional<std::vector<CountRow<3>>> numbers = isMessage ? readCounts<3>(json::array({ fields[0], fields[2], fields[3] })) : std::nullopt;
    std::optional<std::vector<CountRow<5>>> rows = isMessage ? readCounts<5>(fields[4]) : std::nullopt;
    bool isValid = numbers && rows && rows->size() <= maxCreditRows && numbers->front()[0] <= static_cast<std::uint32_t>(CreditMessageKind::Reply);
    if (!isValid)
        return absl::InvalidArgumentError("a credit message can't be read");
    auto [kind, elapsed, entries] = numbers->front();
    CreditMessage message { static_cast<CreditMessageKind>(kind), fields[1].get<std::uint64_t>(), microseconds(elapsed), entries, {} };
    for (const CountRow<5>& row : *rows)
        message.rows.push_back({ (std::uint64_t { row[0] } << halfBits) | row[1], row[2], row[3], milliseconds(row[4]) });
    return message;
}

} // namespace catkinwing
