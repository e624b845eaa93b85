#include "catkinwing/PeerProtocol/ForwardStamp.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <set>

namespace catkinwing {

using Millis = std::chrono::duration<std::int64_t, std::milli>;

// Longest deadline that is read; a longer one is taken as junk.
static constexpr std::chrono::hours maxTimeLeft { 24 * 365 };

static constexpr const char* stampVersion = "1";
// Stands for any region, so that a residency header that is lost is noticed.
static constexpr const char* anyRegion = "*";
static constexpr const char* originHeader = "catkinwing-stamp-origin";
static constexpr const char* requestHeader = "catkinwing-stamp-request";
static constexpr const char* attemptHeader = "catkinwing-stamp-attempt";
static constexpr const char* hopHeader = "catkinwing-stamp-hop";
static constexpr const char* visitedHeader = "catkinwing-stamp-visited";
static constexpr const char* teamHeader = "catkinwing-stamp-team";
static constexpr const char* residencyHeader = "catkinwing-stamp-residency";
static constexpr const char* classHeader = "catkinwing-stamp-class";
static constexpr const char* timeLeftHeader = "catkinwing-stamp-time-left-ms";
static constexpr const char* revisionHeader = "catkinwing-stamp-team-revision";
static constexpr const char* claimHeader = "catkinwing-stamp-claim";

static std::string encodeOrigin(const ForwardStamp& stamp)
{
    const Incarnation& incarnation = stamp.origin.incarnation;
    return absl::StrCat(stamp.origin.name, ",", incarnation.start, ",", incarnation.random, ",", stamp.originZone);
}

std::vector<StampHeader> encodeStamp(const ForwardStamp& stamp)
{
    std::vector<StampHeader> headers {
        { stampVersionHeader, stampVersion },
        { originHeader, encodeOrigin(stamp) },
        { requestHeader, stamp.requestId },
        { attemptHeader, absl::StrCat(stamp.attempt) },
        { hopHeader, absl::StrCat(stamp.hop) },
        { visitedHeader, absl::StrJoin(stamp.visited, ",") },
        { teamHeader, stamp.team },
        { classHeader, stamp.requestClass },
        { timeLeftHeader, absl::StrCat(std::chrono::duration_cast<Millis>(stamp.timeLeft).count()) },
        { revisionHeader, absl::StrCat(stamp.teamRevision) },
        { residencyHeader, stamp.residency.empty() ? anyRegion : absl::StrJoin(stamp.residency, ",") },
    };
    if (stamp.claimId)
        headers.push_back({ claimHeader, *stamp.claimId });
    return headers;
}

namespace {

    // Takes the stamp's headers one by one and keeps the first fault.
    class StampReader {
    public:
        explicit StampReader(const std::vector<StampHeader>& headers)
            : m_headers(headers)
        {
        }

        const std::string* find(const char* name)
        {
            const std::string* found = nullptr;
            for (const StampHeader& header : m_headers) {
                if (!absl::EqualsIgnoreCase(header.name, name))
                    continue;
                if (found)
                    fail(name, "is doubled");
                found = &header.value;
            }
            return found;
        }

        std::string text(const char* name)
        {
            const std::string* value = find(name);
            if (!value || value->empty())
                fail(name, "is missing");
            return value ? *value : std::string();
        }

        template <typename Number>
        Number number(const char* name)
        {
            Number value = 0;
            if (!absl::SimpleAtoi(text(name), &value))
                fail(name, "is not a number");
            return value;
        }

        std::vector<std::string> list(const char* name, const std::string& value)
        {
            std::vector<std::string> items = absl::StrSplit(value, ',');
            if (std::any_of(items.begin(), items.end(), [](const std::string& item) { return item.empty(); }))
                fail(name, "has an empty item");
            return items;
        }

        void fail(absl::string_view name, absl::string_view reason)
        {
            if (m_status.ok())
                m_status = absl::InvalidArgumentError(absl::StrCat("header ", name, " ", reason));
        }

        // A header of the stamp that this version doesn't know may carry a limit, so
        // it can't be skipped.
        void refuseUnknown()
        {
            static constexpr const char* known[] = { stampVersionHeader, originHeader, requestHeader, attemptHeader, hopHeader,
                visitedHeader, teamHeader, residencyHeader, classHeader, timeLeftHeader, revisionHeader, claimHeader };
            for (const StampHeader& header : m_headers) {
                if (!absl::StartsWithIgnoreCase(header.name, stampVersionHeader))
                    continue;
                auto isSame = [&](const char* name) { return absl::EqualsIgnoreCase(name, header.name); };
                if (std::none_of(std::begin(known), std::end(known), isSame))
                    fail(header.name, "is unknown");
            }
        }

        const absl::Status& status() const { return m_status; }

    private:
        const std::vector<StampHeader>& m_headers;
        absl::Status m_status;
    };

} // namespace

static void readOrigin(StampReader& reader, ForwardStamp& stamp)
{
    constexpr std::size_t fields = 4;
    std::vector<std::string> parts = reader.list(originHeader, reader.text(originHeader));
    if (parts.size() != fields) {
        reader.fail(originHeader, "has not four items");
        return;
    }
    stamp.origin.name = parts[0];
    stamp.originZone = parts[3];
    Incarnation& incarnation = stamp.origin.incarnation;
    if (!absl::SimpleAtoi(parts[1], &incarnation.start) || !absl::SimpleAtoi(parts[2], &incarnation.random))
        reader.fail(originHeader, "has no incarnation");
}

static void readTimeLeft(StampReader& reader, ForwardStamp& stamp)
{
    Millis left(reader.number<std::int64_t>(timeLeftHeader));
    if (left > maxTimeLeft || left < -maxTimeLeft) {
        reader.fail(timeLeftHeader, "is out of range");
        return;
    }
    stamp.timeLeft = left;
}

static void readResidency(StampReader& reader, ForwardStamp& stamp)
{
    std::string regions = reader.text(residencyHeader);
    if (regions != anyRegion)
        stamp.residency = reader.list(residencyHeader, regions);
}

static void readClaim(StampReader& reader, ForwardStamp& stamp)
{
    if (const std::string* claim = reader.find(claimHeader)) {
        stamp.claimId = *claim;
        if (claim->empty())
            reader.fail(claimHeader, "is empty");
    }
}

absl::StatusOr<ForwardStamp> decodeStamp(const std::vector<StampHeader>& headers)
{
    StampReader reader(headers);
    const std::string* version = reader.find(stampVersionHeader);
    if (!version)
        return absl::NotFoundError("no stamp");
    if (*version != stampVersion)
        return absl::UnimplementedError("stamp: unknown version");
    ForwardStamp stamp;
    readOrigin(reader, stamp);
    stamp.requestId = reader.text(requestHeader);
    stamp.attempt = reader.number<std::uint32_t>(attemptHeader);
    stamp.hop = reader.number<std::uint32_t>(hopHeader);
    stamp.visited = reader.list(visitedHeader, reader.text(visitedHeader));
    stamp.team = reader.text(teamHeader);
    stamp.requestClass = reader.text(classHeader);
    readTimeLeft(reader, stamp);
    stamp.teamRevision = reader.number<std::int64_t>(revisionHeader);
    readResidency(reader, stamp);
    readClaim(reader, stamp);
    reader.refuseUnknown();
    if (!reader.status().ok())
        return reader.status();
    return stamp;
}

static bool contains(const std::vector<std::string>& items, absl::string_view item)
{
    return std::any_of(items.begin(), items.end(), [item](const std::string& candidate) { return candidate == item; });
}

StampVerdict checkStamp(const ForwardStamp& stamp, absl::string_view ownZone, absl::string_view ownRegion)
{
    if (stamp.hop == 0 || stamp.hop > maxStampHops)
        return StampVerdict::HopLimit;
    if (stamp.originZone == ownZone || contains(stamp.visited, ownZone))
        return StampVerdict::Visited;
    if (!stamp.residency.empty() && !contains(stamp.residency, ownRegion))
        return StampVerdict::Residency;
    if (stamp.timeLeft <= Duration::zero())
        return StampVerdict::DeadlinePassed;
    return StampVerdict::Accepted;
}

const char* describe(StampVerdict verdict)
{
    switch (verdict) {
    case StampVerdict::Accepted:
        return "accepted";
    case StampVerdict::HopLimit:
        return "the request was forwarded already";
    case StampVerdict::Visited:
        return "the request has been in this zone";
    case StampVerdict::Residency:
        return "this region may not process the request";
    case StampVerdict::DeadlinePassed:
        return "the deadline has passed";
    }
    return "unknown verdict";
}

} // namespace catkinwing
