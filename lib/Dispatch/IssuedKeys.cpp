#include "catkinwing/Dispatch/IssuedKeys.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace catkinwing {

// A key reads "cik1:ENTRY:INCARNATION:SERIAL:MAC", the numbers in decimal and
// the MAC in hexadecimal. Entry names hold no colon.
static constexpr absl::string_view keyScheme = "cik1";
static constexpr char separator = ':';
static constexpr std::size_t macBytes = 16;
static constexpr std::uint64_t unusedFingerprint = 0;
// Keeps these ids apart from those of the ledger, which count from one.
static constexpr std::uint64_t issuedSerialFlag = std::uint64_t { 1 } << 63;
// Below the flag stand the count of releases and, in these bits, the serial.
static constexpr unsigned serialBits = 40;
static constexpr std::uint64_t serialMask = (std::uint64_t { 1 } << serialBits) - 1;
static constexpr std::uint32_t maxReleases = 1'000'000;

namespace {

    struct ParsedKey {
        KeyAuthority authority;
        std::uint64_t serial { 0 };
        std::string mac;
    };

} // namespace

static absl::optional<ParsedKey> parseKey(absl::string_view key)
{
    constexpr std::size_t partsOfKey = 5;
    std::vector<absl::string_view> parts = absl::StrSplit(key, separator);
    if (parts.size() != partsOfKey || parts[0] != keyScheme || parts[1].empty())
        return absl::nullopt;
    ParsedKey parsed;
    parsed.authority.entry = std::string(parts[1]);
    bool isNumeric = absl::SimpleAtoi(parts[2], &parsed.authority.incarnation) && absl::SimpleAtoi(parts[3], &parsed.serial);
    if (!isNumeric)
        return absl::nullopt;
    parsed.mac = std::string(parts[4]);
    return parsed;
}

absl::optional<KeyAuthority> authorityOf(absl::string_view key)
{
    absl::optional<ParsedKey> parsed = parseKey(key);
    if (!parsed)
        return absl::nullopt;
    return parsed->authority;
}

IssuedKeys::IssuedKeys(const Clock& clock, IssuedKeyLimits limits, KeyAuthority self, const Secret& secret)
    : m_clock(clock)
    , m_limits(limits)
    , m_self(std::move(self))
    , m_secret(secret)
{
    assert(m_self.entry.find(separator) == std::string::npos && "an entry's name holds no colon");
}

absl::StatusOr<IssuedKeys::Secret> IssuedKeys::makeSecret()
{
    Secret secret {};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
        return absl::InternalError("the system's random generator failed");
    return secret;
}

std::string IssuedKeys::macOf(absl::string_view team, std::uint64_t serial) const
{
    std::string text = absl::StrCat(m_self.entry, ":", m_self.incarnation, ":", serial, ":", team);
    unsigned char mac[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    auto* data = reinterpret_cast<const unsigned char*>(text.data());
    auto* result = HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), data, text.size(), mac, &size);
    assert(result && size >= macBytes && "SHA-256 is part of the library");
    (void)result;
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(mac), macBytes));
}

void IssuedKeys::dropExpired()
{
    TimePoint now = m_clock.now();
    while (!m_uses.empty() && now - m_uses.front().issuedAt >= m_limits.lifetime) {
        m_uses.pop_front();
        ++m_firstSerial;
    }
}

IssuedKeys::Use* IssuedKeys::find(std::uint64_t serial)
{
    if (serial < m_firstSerial || serial - m_firstSerial >= m_uses.size())
        return nullptr;
    return &m_uses[serial - m_firstSerial];
}

absl::StatusOr<std::string> IssuedKeys::issue(absl::string_view team)
{
    dropExpired();
    if (m_uses.size() >= m_limits.maxKeys)
        return absl::ResourceExhaustedError("too many idempotency keys are out");
    std::uint64_t serial = m_firstSerial + m_uses.size();
    m_uses.push_back({ m_clock.now(), unusedFingerprint, 0 });
    return absl::StrCat(keyScheme, ":", m_self.entry, ":", m_self.incarnation, ":", serial, ":", macOf(team, serial));
}

IssuedKeyUse IssuedKeys::use(absl::string_view team, absl::string_view key, std::uint64_t fingerprint)
{
    dropExpired();
    absl::optional<ParsedKey> parsed = parseKey(key);
    if (!parsed || !(parsed->authority == m_self))
        return {};
    std::string mac = macOf(team, parsed->serial);
    bool isGenuine = mac.size() == parsed->mac.size() && CRYPTO_memcmp(mac.data(), parsed->mac.data(), mac.size()) == 0;
    if (!isGenuine)
        return {};
    IssuedKeyUse result;
    Use* found = find(parsed->serial);
    if (!found) {
        result.verdict = IssuedKeyVerdict::Expired;
        return result;
    }
    result.id = idOf(parsed->serial, found->releases);
    fingerprint = fingerprint == unusedFingerprint ? 1 : fingerprint;
    if (found->fingerprint == unusedFingerprint) {
        found->fingerprint = fingerprint;
        result.verdict = IssuedKeyVerdict::Won;
        return result;
    }
    result.verdict = found->fingerprint == fingerprint ? IssuedKeyVerdict::AlreadyUsed : IssuedKeyVerdict::OtherRequest;
    return result;
}

ClaimId IssuedKeys::idOf(std::uint64_t serial, std::uint32_t releases) const
{
    std::uint64_t runSerial = issuedSerialFlag | (std::uint64_t { releases } << serialBits) | serial;
    return { m_self.entry, m_self.incarnation, runSerial };
}

// Only the id in force is taken back, so that a late release of an earlier
// use can't free the key while a later one runs.
void IssuedKeys::release(const ClaimId& id)
{
    std::uint64_t serial = id.serial & serialMask;
    Use* found = find(serial);
    bool isInForce = found && found->releases < maxReleases && id == idOf(serial, found->releases);
    if (!isInForce)
        return;
    found->fingerprint = unusedFingerprint;
    ++found->releases;
}

} // namespace catkinwing
