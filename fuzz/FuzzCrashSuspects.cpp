// Lets three entries record and tell each other arbitrary crashes and answers of a few suspects.
#include "FuzzInput.h"
#include "catkinwing/Membership/CrashSuspectTable.h"
#include <array>
#include <string>

using namespace catkinwing;
using std::chrono::milliseconds;

static constexpr std::size_t entryCount = 3;
static constexpr std::size_t maxSteps = 400;

namespace {

struct Fleet {
    std::array<CrashSuspectTable, entryCount> entries { CrashSuspectTable(1), CrashSuspectTable(2), CrashSuspectTable(3) };
    TimePoint now { std::chrono::seconds(100) };
};

} // namespace

/// Returns the suspects that the bits of \p choice name: a request and up to three segments.
static RequestSuspects suspectsOf(unsigned char choice)
{
    RequestFingerprint request;
    request.bytes.fill(static_cast<unsigned char>(1 + (choice & 3)));
    std::vector<absl::string_view> segments;
    for (absl::string_view name : { "first", "second", "third" }) {
        if (choice >> (2 + segments.size()) & 1)
            segments.push_back(name);
    }
    segments.push_back("own");
    return requestSuspects(request, segments);
}

static void exchange(Fleet& fleet, CrashSuspectTable& from)
{
    std::vector<CrashNotice> notices = from.takeSettledNotices();
    for (const auto& more : { from.takeUrgentNotices(fleet.now), from.takeChangedNotices(fleet.now), from.nextSuspectNotices(fleet.now), from.refusedNotices(fleet.now) })
        notices.insert(notices.end(), more.begin(), more.end());
    for (CrashSuspectTable& to : fleet.entries) {
        for (const CrashNotice& notice : notices) {
            if (&to != &from)
                to.mergeNotice(notice, fleet.now);
        }
    }
}

static void checkAnswered(Fleet& fleet, CrashSuspectTable& entry, const RequestSuspects& suspects)
{
    fleet.now += milliseconds(1);
    entry.recordSurvival(suspects, fleet.now);
    require(!entry.refusalOf(suspects, fleet.now), "what was answered is not refused");
    require(!entry.crashToAwait(suspects, fleet.now), "what was answered is not held");
}

static void checkTrial(Fleet& fleet, std::size_t rank, const RequestSuspects& suspects)
{
    CrashSuspectTable& entry = fleet.entries[rank];
    std::optional<CrashSuspectTable::Refusal> refusal = entry.refusalOf(suspects, fleet.now);
    if (!refusal)
        return;
    require(refusal->remaining > Duration::zero(), "a refusal has an end to come");
    if (!refusal->mayBeTrial || !entry.beginTrial(refusal->suspect, { rank, entryCount }, fleet.now))
        return;
    require(kindOf(refusal->suspect) != SuspectKind::Request, "identical requests have no trials");
    require(!entry.beginTrial(refusal->suspect, { rank, entryCount }, fleet.now), "one request is tried in a turn");
}

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view input = textOf(data, size);
    Fleet fleet;
    for (CrashSuspectTable& entry : fleet.entries)
        entry.setUrgentCallback([] {});
    for (std::size_t step = 0; step < maxSteps && !input.empty(); ++step) {
        auto action = static_cast<unsigned char>(takeByte(input));
        RequestSuspects suspects = suspectsOf(static_cast<unsigned char>(takeByte(input)));
        auto endpoint = static_cast<std::uint32_t>(takeByte(input)) & 63u;
        std::size_t rank = (action >> 3) % entryCount;
        CrashSuspectTable& entry = fleet.entries[rank];
        switch (action & 7) {
        case 0:
            entry.recordBrokenConnection(suspects, endpoint, {}, fleet.now, milliseconds(action));
            break;
        case 1:
            checkAnswered(fleet, entry, suspects);
            break;
        case 2:
            entry.recordUnframedEnd(suspects, endpoint, {}, fleet.now, milliseconds(action));
            break;
        case 3:
            entry.recordEndpointAlive(endpoint, fleet.now);
            break;
        case 4:
            entry.recordEndpointUnreachable(endpoint, fleet.now);
            break;
        case 5:
            exchange(fleet, entry);
            break;
        case 6:
            checkTrial(fleet, rank, suspects);
            break;
        default:
            fleet.now += milliseconds(endpoint * endpoint * 4);
            entry.settleAndExpire(fleet.now);
        }
    }
    return 0;
}
