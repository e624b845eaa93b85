#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// What an entry has under way at one endpoint.
struct EndpointWorkload {
    /// Hash of the endpoint's incarnation.
    std::uint32_t endpoint { 0 };
    /// Requests under way.
    std::uint32_t requests { 0 };
    /// Tokens of prompts that are still to be read, in thousands, rounded.
    std::uint32_t unreadKilotokens { 0 };
    /// One if the entry passes the endpoint over because it failed or is silent.
    std::uint32_t suspicions { 0 };
    /// Entries whose work it adds up.
    std::uint32_t users { 1 };
    /// Cache memory that the requests take, in thousands of tokens; counted only for services
    /// that serve mixed prompts.
    std::uint32_t heldKilotokens { 0 };
};

/// A prompt with a shared part that an entry has sent to an endpoint, or to
/// another region.
struct PartSent {
    /// Hash of the endpoint's incarnation, or of the region's name.
    std::uint32_t place { 0 };
    /// Hash of the part.
    std::uint32_t part { 0 };
    /// What the endpoint stores for it beyond what it had, in thousands of tokens;
    /// zero for a region.
    std::uint32_t kilotokens { 0 };
};

/// What an entry tells the others of its region several times a second, in one
/// datagram: about 12 bytes for each endpoint that it uses and for each part sent, and its key.
struct LoadReport {
    /// Key of the entry, which is another one after each start.
    std::string entry;
    /// Grows with each report, since datagrams may overtake each other.
    std::uint64_t sequence { 0 };
    std::vector<EndpointWorkload> loads;
    /// What was sent since the last report; told once, since a lost one only costs
    /// that a part is read once more.
    std::vector<PartSent> parts {};
};

/// Returns the hash by which reports name an endpoint.
std::uint32_t endpointHash(absl::string_view incarnation);
std::string encodeLoadReport(const LoadReport& report);
absl::StatusOr<LoadReport> decodeLoadReport(absl::string_view bytes);

} // namespace catkinwing
