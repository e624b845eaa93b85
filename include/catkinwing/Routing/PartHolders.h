#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/strings/string_view.h>
#include <cstdint>

namespace catkinwing {

/// Returns the hash by which a shared part of a prompt is named.
std::uint32_t partHash(absl::string_view sharedPart);

/// Which endpoints of a region probably keep which shared parts, from what all
/// its entries have sent where. An endpoint gives up the parts that it has not
/// used for longest; so a part counts as kept until prompts that fill the
/// memory left for parts have been sent there after it.
class PartHolders {
public:
    PartHolders();

    /// Notes that a prompt with \p part was sent to \p endpoint, which thereby
    /// stores \p kilotokens.
    void noteSent(std::uint32_t endpoint, std::uint32_t part, std::uint32_t kilotokens);
    /// Sets what an endpoint can hold in all; zero leaves it as it is.
    void setMemory(std::int64_t tokens);
    /// The endpoint has not run the request after all.
    void forget(std::uint32_t endpoint, std::uint32_t part);
    bool holds(std::uint32_t endpoint, std::uint32_t part) const;
    std::size_t parts() const { return m_holders.size(); }

private:
    struct Holder {
        std::uint32_t endpoint { 0 };
        /// The part is gone once the endpoint has stored more than this.
        std::uint64_t keptUntil { 0 };
    };
    using Holders = absl::InlinedVector<Holder, 2>;

    bool isKept(const Holder& holder) const;
    void dropStale();

    absl::flat_hash_map<std::uint32_t, Holders> m_holders;
    /// Thousands of tokens that each endpoint has stored so far.
    absl::flat_hash_map<std::uint32_t, std::uint64_t> m_stored;
    /// Thousands of tokens of parts that an endpoint keeps.
    std::uint64_t m_room { 0 };
};

} // namespace catkinwing
