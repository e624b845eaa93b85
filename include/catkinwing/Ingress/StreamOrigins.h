#pragma once

#include "catkinwing/Routing/ServiceVersions.h"
#include "catkinwing/Support/RequestFingerprint.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <utility>

namespace catkinwing {

/// Stands for the version of a stream that isn't certain, so that the stream can't be resumed.
constexpr BuildId uncertainBuild = 0;

/// The software versions at which streams began, as entries have stated them. Bounded: the
/// earliest statements are dropped first.
class StreamOrigins {
public:
    /// A statement that a stream began at \p build. \p sequence increases with the statements
    /// of one sender about the stream.
    struct Statement {
        BuildId build { uncertainBuild };
        SocketAddress sender;
        std::uint32_t sequence { 0 };
    };

    /// Records a statement. The later one of the same sender counts. If the statements of
    /// two senders differ, the version isn't certain any more.
    void record(const RequestFingerprint& stream, const Statement& statement, TimePoint now);
    /// Returns the stated version, uncertainBuild if it isn't certain, or nothing if there
    /// is no statement.
    std::optional<BuildId> find(const RequestFingerprint& stream) const;
    /// Drops the statements that are older than \p lifetime.
    void expire(Duration lifetime, TimePoint now);
    std::size_t size() const { return m_known.size(); }

private:
    struct Known {
        Statement statement;
        TimePoint at {};
        bool isContested { false };
    };

    absl::flat_hash_map<RequestFingerprint, Known, RequestFingerprintHash> m_known;
    /// The streams in the order of their first statements.
    std::deque<std::pair<TimePoint, RequestFingerprint>> m_byAge;
};

} // namespace catkinwing
