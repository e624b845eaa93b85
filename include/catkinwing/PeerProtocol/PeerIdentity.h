#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <cstdint>
#include <string>
#include <tuple>

namespace catkinwing {

/// One run of a process; a later run of the same name compares higher.
struct Incarnation {
    /// Milliseconds since the Unix epoch at the start of the run; orders runs
    /// and nothing else.
    std::uint64_t start { 0 };
    /// Random bits that tell runs of the same start apart.
    std::uint64_t random { 0 };

    friend bool operator==(const Incarnation& a, const Incarnation& b) { return a.start == b.start && a.random == b.random; }
    friend bool operator!=(const Incarnation& a, const Incarnation& b) { return !(a == b); }
    friend bool operator<(const Incarnation& a, const Incarnation& b) { return std::tie(a.start, a.random) < std::tie(b.start, b.random); }
};

/// Names one run of one entry.
struct EntryRef {
    std::string name;
    Incarnation incarnation;

    friend bool operator==(const EntryRef& a, const EntryRef& b) { return a.name == b.name && a.incarnation == b.incarnation; }
    friend bool operator!=(const EntryRef& a, const EntryRef& b) { return !(a == b); }
};

/// What an entry says of itself.
struct EntryIdentity {
    EntryRef ref;
    /// Availability zone; empty in a heartbeat whose receiver already knows the
    /// zone, the region and the addresses of this run.
    std::string zone;
    std::string region;
    /// Where callers are served.
    SocketAddress callerAddress;
    /// Where other entries are served.
    SocketAddress peerAddress;
    /// Where operators are served.
    SocketAddress operatorAddress;
};

} // namespace catkinwing
