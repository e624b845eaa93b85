#include "catkinwing/PeerProtocol/CrashReport.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;
using std::chrono::milliseconds;

/// Members of a notice: suspect, crashes, survival (empty or one age),
/// remaining refusal, refusals, regions.
static constexpr std::size_t noticeMembers = 6;
/// Longer times tell no more.
static constexpr milliseconds longestRun { 60'000 };
/// Regions that a notice may name.
static constexpr std::size_t mostRegions = 64;

std::uint32_t regionHash(absl::string_view region)
{
    return static_cast<std::uint32_t>(stableHash(region));
}

static std::uint32_t countOf(milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(time.count(), 0, UINT32_MAX));
}

static json encodeNotice(const CrashNotice& notice)
{
    json crashes = json::array();
    for (const ToldCrash& crash : notice.crashes)
        appendCounts(crashes, { crash.endpoint, countOf(crash.age), countOf(std::min(crash.ranFor, longestRun)), crash.isSettled ? 1u : 0u });
    json survived = json::array();
    if (notice.survivedAgo)
        survived.push_back(countOf(*notice.survivedAgo));
    std::vector<std::uint8_t> suspect(notice.suspect.bytes.begin(), notice.suspect.bytes.end());
    return json::array({ json::binary(std::move(suspect)), std::move(crashes), std::move(survived), countOf(notice.refusedFor), notice.refusals, notice.regions });
}

std::string encodeCrashReport(const CrashReport& report)
{
    json notices = json::array();
    for (const CrashNotice& notice : report.notices)
        notices.push_back(encodeNotice(notice));
    std::string bytes;
    json::to_cbor(json::array({ std::move(notices) }), bytes);
    return bytes;
}

static bool isCount(const json& number)
{
    return number.is_number_unsigned() && number.get<std::uint64_t>() <= UINT32_MAX;
}

static std::optional<CrashNotice> decodeNotice(const json& message)
{
    bool isNotice = message.is_array() && message.size() == noticeMembers && message[0].is_binary() && isCount(message[3]) && isCount(message[4]);
    if (!isNotice || message[0].get_binary().size() != RequestFingerprint::size)
        return std::nullopt;
    std::optional<std::vector<CountRow<4>>> crashes = readCounts<4>(message[1]);
    std::optional<std::vector<CountRow<1>>> survived = readCounts<1>(message[2]);
    std::optional<std::vector<CountRow<1>>> regions = readCounts<1>(message[5]);
    bool isWhole = crashes && survived && regions;
    if (!isWhole || crashes->size() > mostToldCrashes || survived->size() > 1 || regions->size() > mostRegions)
        return std::nullopt;
    CrashNotice notice;
    std::copy(message[0].get_binary().begin(), message[0].get_binary().end(), notice.suspect.bytes.begin());
    for (const CountRow<4>& row : *crashes)
        notice.crashes.push_back({ row[0], milliseconds(row[1]), milliseconds(row[2]), row[3] != 0 });
    if (!survived->empty())
        notice.survivedAgo = milliseconds(survived->front()[0]);
    notice.refusedFor = milliseconds(message[3].get<std::uint32_t>());
    notice.refusals = message[4].get<std::uint32_t>();
    for (const CountRow<1>& row : *regions)
        notice.regions.push_back(row[0]);
    return notice;
}

absl::StatusOr<CrashReport> decodeCrashReport(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isReport = message.is_array() && message.size() == 1 && message[0].is_array() && message[0].size() <= mostNotices;
    if (!isReport)
        return absl::InvalidArgumentError("a report of crashes can't be read");
    CrashReport report;
    for (const json& item : message[0]) {
        std::optional<CrashNotice> notice = decodeNotice(item);
        if (!notice)
            return absl::InvalidArgumentError("a notice of crashes can't be read");
        report.notices.push_back(std::move(*notice));
    }
    return report;
}

} // namespace catkinwing
