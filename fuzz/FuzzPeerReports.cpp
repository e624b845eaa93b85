#include "FuzzInput.h"
#include "catkinwing/PeerProtocol/CrashReport.h"
#include "catkinwing/PeerProtocol/CreditMessages.h"
#include "catkinwing/PeerProtocol/LimitMessages.h"
#include "catkinwing/PeerProtocol/LoadDigest.h"
#include "catkinwing/PeerProtocol/LoadReport.h"
#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/PeerProtocol/StoreChanges.h"
#include "catkinwing/PeerProtocol/StreamOriginMessages.h"
#include "catkinwing/PeerProtocol/WorkspaceReport.h"

using namespace catkinwing;

static void fuzzLoadReport(absl::string_view bytes)
{
    absl::StatusOr<LoadReport> report = decodeLoadReport(bytes);
    if (!report.ok())
        return;
    std::string again = encodeLoadReport(*report);
    absl::StatusOr<LoadReport> decoded = decodeLoadReport(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeLoadReport(*decoded) == again, "a report comes back as it was");
}

static void fuzzLoadDigest(absl::string_view bytes)
{
    absl::StatusOr<LoadDigest> digest = decodeLoadDigest(bytes);
    if (!digest.ok())
        return;
    std::string again = encodeLoadDigest(*digest);
    absl::StatusOr<LoadDigest> decoded = decodeLoadDigest(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeLoadDigest(*decoded) == again, "a digest comes back as it was");
}

static void fuzzRegionReport(absl::string_view bytes)
{
    absl::StatusOr<RegionReport> report = decodeRegionReport(bytes);
    if (!report.ok())
        return;
    std::string again = encodeRegionReport(*report);
    absl::StatusOr<RegionReport> decoded = decodeRegionReport(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeRegionReport(*decoded) == again, "a report comes back as it was");
}

static void fuzzCrashReport(absl::string_view bytes)
{
    absl::StatusOr<CrashReport> report = decodeCrashReport(bytes);
    if (!report.ok())
        return;
    std::string again = encodeCrashReport(*report);
    absl::StatusOr<CrashReport> decoded = decodeCrashReport(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeCrashReport(*decoded) == again, "a report comes back as it was");
}

static void fuzzCreditMessage(absl::string_view bytes)
{
    // Inputs seldom begin with the mark, so that each is tried behind it as well.
    absl::StatusOr<CreditMessage> message = decodeCreditMessage(std::string(1, creditMessageMark) + std::string(bytes));
    if (!message.ok())
        return;
    std::string again = encodeCreditMessage(*message);
    absl::StatusOr<CreditMessage> decoded = decodeCreditMessage(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeCreditMessage(*decoded) == again, "a message comes back as it was");
}

static void fuzzLimitMessage(absl::string_view bytes)
{
    absl::StatusOr<LimitMessage> message = decodeLimitMessage(std::string(1, limitMessageMark) + std::string(bytes));
    if (!message.ok())
        return;
    std::string again = encodeLimitMessage(*message);
    absl::StatusOr<LimitMessage> decoded = decodeLimitMessage(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeLimitMessage(*decoded) == again, "a message comes back as it was");
}

static void fuzzStreamOriginMessage(absl::string_view bytes)
{
    absl::StatusOr<StreamOriginMessage> message = decodeStreamOriginMessage(std::string(1, streamOriginMark) + std::string(bytes));
    if (!message.ok())
        return;
    std::string again = encodeStreamOriginMessage(*message);
    absl::StatusOr<StreamOriginMessage> decoded = decodeStreamOriginMessage(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeStreamOriginMessage(*decoded) == again, "a message comes back as it was");
}

static void fuzzWorkspaceReport(absl::string_view bytes)
{
    absl::StatusOr<WorkspaceReport> report = decodeWorkspaceReport(std::string(1, workspaceReportMark) + std::string(bytes));
    if (!report.ok())
        return;
    std::string again = encodeWorkspaceReport(*report);
    absl::StatusOr<WorkspaceReport> decoded = decodeWorkspaceReport(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeWorkspaceReport(*decoded) == again, "a report comes back as it was");
}

static void fuzzStoreChanges(absl::string_view bytes)
{
    absl::StatusOr<StoreChanges> changes = decodeStoreChanges(bytes);
    if (!changes.ok())
        return;
    std::string again = encodeStoreChanges(*changes);
    absl::StatusOr<StoreChanges> decoded = decodeStoreChanges(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeStoreChanges(*decoded) == again, "changes come back as they were");
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    fuzzLoadReport(textOf(data, size));
    fuzzLoadDigest(textOf(data, size));
    fuzzRegionReport(textOf(data, size));
    fuzzCrashReport(textOf(data, size));
    fuzzStoreChanges(textOf(data, size));
    fuzzCreditMessage(textOf(data, size));
    fuzzLimitMessage(textOf(data, size));
    fuzzStreamOriginMessage(textOf(data, size));
    fuzzWorkspaceReport(textOf(data, size));
    return 0;
}
