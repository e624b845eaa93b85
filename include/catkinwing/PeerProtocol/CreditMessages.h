#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// First byte of every credit message, by which it differs from other datagrams.
constexpr char creditMessageMark = 0;

enum class CreditMessageKind {
    /// Leaves the accrual of a time to a pool.
    Deposit,
    /// An entry asks the pool of its region.
    EntryAsk,
    /// A pool asks the pool of another region.
    PoolAsk,
    /// Tells an entry that the answer to its ask has to wait for credit of other regions.
    Delay,
    /// Answers a message of any other kind.
    Reply,
};

/// One workspace in a message: about 15 bytes.
struct CreditRow {
    /// Hash of the workspace's name.
    std::uint64_t workspace { 0 };
    /// Of an ask: the smallest useful amount. Of a reply: the amount granted.
    std::uint32_t amount { 0 };
    /// Of an ask: the largest useful amount.
    std::uint32_t maxAmount { 0 };
    /// Of an ask: the longest time that a client waits before it returns. Of a reply: how
    /// long the granted credit lasts, or after which time the client of a refused request
    /// should return.
    std::chrono::milliseconds time { 0 };
};

/// A message about the credit of workspaces.
struct CreditMessage {
    CreditMessageKind kind { CreditMessageKind::Deposit };
    /// Chosen by the sender of a message; its reply repeats it.
    std::uint64_t id { 0 };
    /// Of a deposit: the time that it covers.
    std::chrono::microseconds elapsed { 0 };
    /// Of a deposit: the number of entries that share the limits.
    std::uint32_t entries { 0 };
    std::vector<CreditRow> rows;
};

/// Max number of rows in a message, so that it fits into a datagram of 1,400 bytes.
constexpr std::size_t maxCreditRows = 48;

/// Returns \p amount as a count of a row, rounded up.
std::uint32_t toCreditCount(double amount);
std::string encodeCreditMessage(const CreditMessage& message);
absl::StatusOr<CreditMessage> decodeCreditMessage(absl::string_view bytes);

} // namespace catkinwing
