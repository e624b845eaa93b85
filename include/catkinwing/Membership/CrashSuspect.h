#pragma once

#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/strings/string_view.h>
#include <cstdint>
#include <vector>

namespace catkinwing {

/// What may be the reason that a request crashes the endpoint which runs it.
enum class SuspectKind : std::uint8_t {
    /// The request as a whole. Only identical requests share it.
    Request = 0,
    /// A segment of the prompt, which requests of many clients may share.
    PromptSegment = 1,
};

/// Names a suspect. The kind is part of the name, so that entries which exchange names agree on
/// it. The name of a request is its fingerprint.
using SuspectId = RequestFingerprint;

/// Returns the kind of a suspect.
SuspectKind kindOf(const SuspectId& suspect);
/// Returns the name of the suspect of \p kind that \p text identifies. Not for requests.
SuspectId suspectId(SuspectKind kind, absl::string_view text);

/// The suspects of one request: the request itself, then the segments of its prompt, each once.
using RequestSuspects = std::vector<SuspectId>;

/// Max number of prompt segments of one request that are suspects.
constexpr std::size_t maxSegmentSuspects = 64;

/// Returns the suspects of a request whose prompt has \p segments, by their identifiers. The last one
/// belongs to the request itself or to its session, and isn't a suspect of its own.
RequestSuspects requestSuspects(const RequestFingerprint& request, const std::vector<absl::string_view>& segments);

} // namespace catkinwing
