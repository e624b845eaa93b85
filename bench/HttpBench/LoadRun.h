// Sends one load to one target and keeps what it took.
#pragma once

#include "catkinwing/Http/HttpClient.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinwing {

/// The requests to send.
struct LoadOptions {
    std::string method { "GET" };
    std::string path { "/" };
    HttpHeaders headers;
    std::string body;
    /// Most requests in flight at once.
    std::size_t connections { 64 };
    std::uint64_t requests { 10'000 };
    /// Requests begun in each second whatever the answers take; 0 begins the
    /// next one when an answer has arrived.
    double rate { 0 };
};

/// What a load took.
struct LoadSamples {
    std::vector<Duration> whole;
    std::vector<Duration> firstByte;
    /// Times between two pieces of one body.
    std::vector<Duration> gaps;
    std::map<std::string, std::uint64_t> errors;
    Duration elapsed {};

    /// Adds the samples of another run.
    void append(const LoadSamples& other);
    /// Returns the number of requests without a whole answer of status 200.
    std::uint64_t errorCount() const;
};

/// Runs \p loop until every request of \p options has been answered by \p target.
LoadSamples runLoad(EventLoop& loop, HttpClient& client, const SocketAddress& target, const LoadOptions& options);

} // namespace catkinwing
