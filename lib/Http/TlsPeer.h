// What a server learns of the other side of a TLS connection.
#pragma once

#include <string>

namespace catkinwing {

/// The verified identity of a caller.
struct TlsPeer {
    std::string certificateName;
};

/// While it lives, TLS sessions that the thread opens belong to one peer,
/// which must outlive them.
class TlsPeerScope {
public:
    explicit TlsPeerScope(TlsPeer& peer);
    ~TlsPeerScope();
    TlsPeerScope(const TlsPeerScope&) = delete;
    TlsPeerScope& operator=(const TlsPeerScope&) = delete;
};

} // namespace catkinwing
