#include "catkinwing/Standin/HttpWeightFetcher.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace catkinwing::standin {

constexpr std::size_t maxAnswerBytes = 64 << 10;
// A transfer may wait long for its turn.
constexpr std::chrono::minutes transferTimeout { 10 };

static WeightFetchResult toResult(const HttpResult& result, const HttpResponseHead& head)
{
    WeightFetchResult fetched;
    if (result.end != HttpEnd::Complete) {
        fetched.status = absl::UnavailableError(result.detail);
        return fetched;
    }
    if (head.status == 200)
        return fetched;
    fetched.status = absl::UnavailableError(absl::StrCat("weight store answered ", head.status));
    std::int64_t seconds = 0;
    const std::string* retryAfter = head.headers.find("retry-after");
    if (retryAfter && absl::SimpleAtoi(*retryAfter, &seconds) && seconds > 0)
        fetched.retryAfter = std::chrono::seconds(seconds);
    return fetched;
}

WeightFetcher makeHttpWeightFetcher(HttpClient& client, SocketAddress server, std::uint64_t megabytes)
{
    return [&client, server = std::move(server), megabytes](const std::string& adapter, std::function<void(const WeightFetchResult&)> done) {
        HttpClientRequest request;
        request.server = server;
        request.target = absl::StrCat("/weights/", adapter, "?megabytes=", megabytes);
        request.headTimeout = transferTimeout;
        sendForWhole(client, std::move(request), maxAnswerBytes,
            [done = std::move(done)](const HttpResult& result, const HttpResponseHead& head, const std::string&) { done(toResult(result, head)); });
    };
}

} // namespace catkinwing::standin
