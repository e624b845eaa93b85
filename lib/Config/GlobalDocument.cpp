#include "catkinwing/Config/GlobalDocument.h"

#include "ReadDocument.h"

namespace catkinwing {

static void readForwarding(const ObjectReader& reader, ForwardingSettings& forwarding)
{
    reader.read("minimumGain", forwarding.minimumGain, DurationRange::FromZero);
    reader.read("hysteresis", forwarding.hysteresis, DurationRange::FromZero);
    reader.read("maximumShareAway", forwarding.maximumShareAway);
}

static void readHedging(const ObjectReader& reader, HedgingSettings& hedging)
{
    reader.read("enabled", hedging.enabled);
    reader.read("percentile", hedging.percentile);
    reader.read("minimumDelay", hedging.minimumDelay, DurationRange::FromZero);
}

static void readOutlierEjection(const ObjectReader& reader, OutlierEjectionSettings& ejection)
{
    reader.read("failureThreshold", ejection.failureThreshold);
    reader.read("baseEjectionTime", ejection.baseEjectionTime, DurationRange::AboveZero);
    reader.read("maximumEjectedFraction", ejection.maximumEjectedFraction);
}

static void readIdempotency(const ObjectReader& reader, IdempotencySettings& idempotency)
{
    reader.read("keepFor", idempotency.keepFor, DurationRange::AboveZero);
    reader.read("shards", idempotency.shards);
}

static void readGlobal(const ObjectReader& reader, GlobalDocument& document)
{
    reader.readObject("forwarding", [&](const ObjectReader& member) { readForwarding(member, document.forwarding); });
    reader.read("retryBudgetFraction", document.retryBudgetFraction);
    reader.readObject("hedging", [&](const ObjectReader& member) { readHedging(member, document.hedging); });
    reader.readObject("outlierEjection", [&](const ObjectReader& member) { readOutlierEjection(member, document.outlierEjection); });
    reader.readObject("idempotency", [&](const ObjectReader& member) { readIdempotency(member, document.idempotency); });
    reader.read("heartbeatInterval", document.heartbeatInterval, DurationRange::AboveZero);
    reader.read("failureTimeout", document.failureTimeout, DurationRange::AboveZero);
    reader.read("slowStart", document.slowStart, DurationRange::FromZero);
    reader.read("drainGrace", document.drainGrace, DurationRange::FromZero);
    // One lost heartbeat must not make an entry look failed.
    if (document.failureTimeout < 2 * document.heartbeatInterval)
        reader.report("failureTimeout", "expected at least twice heartbeatInterval");
}

ConfigResult<GlobalDocument> parseGlobalDocument(absl::string_view text)
{
    return readDocument<GlobalDocument>(SchemaKind::Global, text, readGlobal);
}

} // namespace catkinwing
