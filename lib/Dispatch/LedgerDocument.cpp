#include "catkinwing/Dispatch/LedgerDocument.h"

#include "catkinwing/Support/Cbor.h"
#include <absl/strings/str_cat.h>
#include <cassert>
#include <nlohmann/json.hpp>

namespace catkinwing {

static constexpr unsigned formatVersion = 1;

std::uint32_t LedgerGeneration::claimantIndex(const ClaimId& id)
{
    for (std::uint32_t index = 0; index < claimants.size(); ++index) {
        if (claimants[index].incarnation == id.incarnation && claimants[index].entry == id.entry)
            return index;
    }
    claimants.push_back({ id.entry, id.incarnation });
    return static_cast<std::uint32_t>(claimants.size() - 1);
}

void LedgerGeneration::add(const ClaimRecord& claim)
{
    claims.push_back({ claim.key, claim.fingerprint, claimantIndex(claim.id), claim.id.serial });
}

void LedgerGeneration::replace(std::size_t index, const ClaimRecord& claim)
{
    assert(claims[index].key == claim.key && "a claim is replaced by one of the same key");
    claims[index] = { claim.key, claim.fingerprint, claimantIndex(claim.id), claim.id.serial };
}

ClaimRecord LedgerGeneration::recordAt(std::size_t index) const
{
    const StoredClaim& claim = claims[index];
    const Claimant& claimant = claimants[claim.claimant];
    return { claim.key, claim.fingerprint, { claimant.entry, claimant.incarnation, claim.serial } };
}

std::size_t maxEncodedBytes(const LedgerGeneration& generation)
{
    // A number takes at most nine bytes in CBOR.
    constexpr std::size_t perNumber = 9;
    constexpr std::size_t numbersPerClaim = 5;
    constexpr std::size_t perClaimant = 32;
    constexpr std::size_t fixed = 256;
    std::size_t bytes = fixed + generation.claims.size() * numbersPerClaim * perNumber;
    for (const Claimant& claimant : generation.claimants)
        bytes += perClaimant + claimant.entry.size();
    return bytes;
}

// The claims are stored by column: a document of thousands of claims has five
// arrays of numbers, not thousands of objects with the same member names.
std::string encodeGeneration(const LedgerGeneration& generation, unsigned slots)
{
    using Json = nlohmann::json;
    Json::array_t high, low, fingerprints, claimantIndexes, serials, claimants;
    for (auto* column : { &high, &low, &fingerprints, &claimantIndexes, &serials })
        column->reserve(generation.claims.size());
    for (const StoredClaim& claim : generation.claims) {
        high.emplace_back(claim.key.high);
        low.emplace_back(claim.key.low);
        fingerprints.emplace_back(claim.fingerprint);
        claimantIndexes.emplace_back(claim.claimant);
        serials.emplace_back(claim.serial);
    }
    for (const Claimant& claimant : generation.claimants)
        claimants.push_back({ { "entry", claimant.entry }, { "incarnation", claimant.incarnation } });
    Json document = {
        { "version", formatVersion },
        { "slots", slots },
        { "number", generation.number },
        { "sealed", generation.isSealed },
        { "age_ms", generation.age.count() },
        { "opened_at_age_ms", generation.openedAtAge.count() },
    };
    document["claimants"] = std::move(claimants);
    document["key_high"] = std::move(high);
    document["key_low"] = std::move(low);
    document["fingerprints"] = std::move(fingerprints);
    document["claimant"] = std::move(claimantIndexes);
    document["serials"] = std::move(serials);
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

static void decodeClaimants(const nlohmann::json& document, LedgerGeneration& generation)
{
    for (const auto& claimant : document.at("claimants"))
        generation.claimants.push_back({ claimant.at("entry").get<std::string>(), claimant.at("incarnation").get<std::uint64_t>() });
}

static absl::Status decodeClaims(const nlohmann::json& document, LedgerGeneration& generation)
{
    auto high = document.at("key_high").get<std::vector<std::uint64_t>>();
    auto low = document.at("key_low").get<std::vector<std::uint64_t>>();
    auto fingerprints = document.at("fingerprints").get<std::vector<std::uint64_t>>();
    auto claimant = document.at("claimant").get<std::vector<std::uint32_t>>();
    auto serials = document.at("serials").get<std::vector<std::uint64_t>>();
    std::size_t count = high.size();
    bool sameLength = low.size() == count && fingerprints.size() == count && claimant.size() == count && serials.size() == count;
    if (!sameLength)
        return absl::DataLossError("ledger document: columns differ in length");
    generation.claims.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        if (claimant[index] >= generation.claimants.size())
            return absl::DataLossError("ledger document: a claim names no claimant");
        generation.claims.push_back({ { high[index], low[index] }, fingerprints[index], claimant[index], serials[index] });
    }
    return absl::OkStatus();
}

static absl::StatusOr<LedgerGeneration> decodeDocument(const nlohmann::json& document, unsigned slots)
{
    if (document.at("version").get<unsigned>() != formatVersion)
        return absl::FailedPreconditionError("ledger document: unknown version");
    if (document.at("slots").get<unsigned>() != slots)
        return absl::FailedPreconditionError("ledger document: written with another number of slots");
    LedgerGeneration generation;
    generation.number = document.at("number").get<std::uint64_t>();
    generation.isSealed = document.at("sealed").get<bool>();
    generation.age = std::chrono::milliseconds(document.at("age_ms").get<std::int64_t>());
    generation.openedAtAge = std::chrono::milliseconds(document.at("opened_at_age_ms").get<std::int64_t>());
    decodeClaimants(document, generation);
    absl::Status claims = decodeClaims(document, generation);
    if (!claims.ok())
        return claims;
    return generation;
}

absl::StatusOr<LedgerGeneration> decodeGeneration(absl::string_view bytes, unsigned slots)
{
    nlohmann::json document = parseCbor(bytes);
    if (document.is_discarded())
        return absl::DataLossError("ledger document: not CBOR, or nested too deeply");
    try {
        return decodeDocument(document, slots);
    } catch (const nlohmann::json::exception& error) {
        return absl::DataLossError(absl::StrCat("ledger document: ", error.what()));
    }
}

} // namespace catkinwing
