#include "EtcdMessages.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

using Json = nlohmann::json;

// etcd grants no longer one.
static constexpr std::chrono::seconds longestTimeToLive { 9'000'000'000 };

static std::string encode(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

// The end of a prefix's range: the prefix with its last byte raised.
static std::string endOfPrefix(std::string prefix)
{
    constexpr char highest = '\xff';
    while (!prefix.empty() && prefix.back() == highest)
        prefix.pop_back();
    // A range up to the zero byte is one without an end.
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

static Json compareRevision(const std::string& key, StoreRevision expected)
{
    return {
        { "key", encode(key) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(expected.number) },
    };
}

static std::string txnBody(const Json& compare, const Json& operation)
{
    Json body = {
        { "compare", Json::array({ compare }) },
        { "success", Json::array({ operation }) },
    };
    return body.dump();
}

std::string rangeBody(const std::string& key)
{
    return Json { { "key", encode(key) } }.dump();
}

std::string prefixRangeBody(const std::string& prefix)
{
    return Json { { "key", encode(prefix) }, { "range_end", encode(endOfPrefix(prefix)) } }.dump();
}

std::string swapBody(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease)
{
    Json put = { { "key", encode(key) }, { "value", encode(value) } };
    if (lease.number != 0)
        put["lease"] = std::to_string(lease.number);
    return txnBody(compareRevision(key, expected), { { "request_put", put } });
}

std::string deleteBody(const std::string& key, StoreRevision expected)
{
    return txnBody(compareRevision(key, expected), { { "request_delete_range", { { "key", encode(key) } } } });
}

std::string watchBody(const std::string& prefix, StoreRevision firstRevision)
{
    Json create = {
        { "key", encode(prefix) },
        { "range_end", encode(endOfPrefix(prefix)) },
        { "start_revision", std::to_string(firstRevision.number) },
    };
    return Json { { "create_request", create } }.dump();
}

std::string grantBody(std::chrono::seconds timeToLive)
{
    return Json { { "TTL", std::to_string(timeToLive.count()) }, { "ID", "0" } }.dump();
}

std::string leaseBody(StoreLease lease)
{
    return Json { { "ID", std::to_string(lease.number) } }.dump();
}

static absl::Status malformed(const char* what)
{
    return absl::UnavailableError(absl::StrCat("malformed answer of the store: ", what));
}

static Json parseObject(absl::string_view text)
{
    Json parsed = Json::parse(text.begin(), text.end(), nullptr, false);
    // Not copied: a copy of deeply nested values would overflow the stack.
    if (!parsed.is_object())
        return nullptr;
    return parsed;
}

// An absent field is zero, as the protocol leaves out default values.
static bool readNumber(const Json& object, const char* name, std::int64_t& number)
{
    number = 0;
    auto field = object.find(name);
    if (field == object.end())
        return true;
    if (field->is_number_integer()) {
        number = field->get<std::int64_t>();
        return true;
    }
    return field->is_string() && absl::SimpleAtoi(field->get_ref<const std::string&>(), &number);
}

static bool readBytes(const Json& object, const char* name, std::string& bytes)
{
    bytes.clear();
    auto field = object.find(name);
    if (field == object.end())
        return true;
    return field->is_string() && absl::Base64Unescape(field->get_ref<const std::string&>(), &bytes);
}

static bool readBool(const Json& object, const char* name, bool& value)
{
    value = false;
    auto field = object.find(name);
    if (field == object.end())
        return true;
    if (!field->is_boolean())
        return false;
    value = field->get<bool>();
    return true;
}

static bool readHeaderRevision(const Json& answer, StoreRevision& revision)
{
    auto header = answer.find("header");
    if (header == answer.end() || !header->is_object())
        return false;
    return readNumber(*header, "revision", revision.number) && revision.number > 0;
}

static bool readKeyValue(const Json& keyValue, StoredValue& value)
{
    if (!keyValue.is_object())
        return false;
    bool isRead = readBytes(keyValue, "key", value.key) && readBytes(keyValue, "value", value.value)
        && readNumber(keyValue, "mod_revision", value.revision.number);
    return isRead && !value.key.empty() && value.revision.number > 0;
}

absl::StatusOr<StoreListing> readRange(absl::string_view body)
{
    Json answer = parseObject(body);
    StoreListing listing;
    if (answer.is_null() || !readHeaderRevision(answer, listing.revision))
        return malformed("range");
    auto values = answer.find("kvs");
    if (values == answer.end())
        return listing;
    if (!values->is_array())
        return malformed("range values");
    for (const auto& keyValue : *values) {
        StoredValue value;
        if (!readKeyValue(keyValue, value) || value.revision > listing.revision)
            return malformed("range value");
        listing.values.push_back(std::move(value));
    }
    return listing;
}

absl::StatusOr<TxnAnswer> readTxn(absl::string_view body)
{
    Json answer = parseObject(body);
    TxnAnswer read;
    bool isRead = !answer.is_null() && readHeaderRevision(answer, read.revision) && readBool(answer, "succeeded", read.isCommitted);
    if (!isRead)
        return malformed("transaction");
    return read;
}

static absl::StatusOr<LeaseAnswer> readLease(const Json& answer)
{
    LeaseAnswer read;
    std::int64_t seconds = 0;
    bool isRead = answer.is_object() && readNumber(answer, "ID", read.lease.number) && readNumber(answer, "TTL", seconds);
    if (!isRead || read.lease == 0 || seconds > longestTimeToLive.count())
        return malformed("lease");
    read.timeToLive = std::chrono::seconds(seconds);
    return read;
}

absl::StatusOr<LeaseAnswer> readGrant(absl::string_view body)
{
    auto read = readLease(parseObject(body));
    if (read.ok() && read->timeToLive.count() <= 0)
        return malformed("lease without a time to live");
    return read;
}

absl::StatusOr<LeaseAnswer> readKeepAlive(absl::string_view body)
{
    // The call is a stream, of which the first message answers.
    Json message = parseObject(body.substr(0, body.find('\n')));
    if (message.is_null())
        return malformed("renewal");
    auto result = message.find("result");
    auto read = readLease(result == message.end() ? message : *result);
    if (read.ok() && read->timeToLive.count() <= 0)
        return absl::NotFoundError("lease has lapsed");
    return read;
}

static bool readEvent(const Json& given, StoreEvent& event)
{
    if (!given.is_object())
        return false;
    std::string type = "PUT";
    auto field = given.find("type");
    if (field != given.end()) {
        if (!field->is_string())
            return false;
        type = field->get<std::string>();
    }
    if (type != "PUT" && type != "DELETE")
        return false;
    event.isDeletion = type == "DELETE";
    auto keyValue = given.find("kv");
    return keyValue != given.end() && readKeyValue(*keyValue, event.current);
}

absl::StatusOr<WatchMessage> readWatchMessage(absl::string_view line)
{
    Json message = parseObject(line);
    if (message.is_null())
        return malformed("watch");
    if (message.contains("error"))
        return readError(0, line);
    auto result = message.find("result");
    if (result == message.end() || !result->is_object())
        return malformed("watch result");
    WatchMessage read;
    if (!readBool(*result, "canceled", read.isCancelled) || !readNumber(*result, "compact_revision", read.compactRevision.number))
        return malformed("watch result");
    auto events = result->find("events");
    if (events == result->end())
        return read;
    if (!events->is_array())
        return malformed("watch events");
    for (const auto& given : *events) {
        StoreEvent event;
        if (!readEvent(given, event))
            return malformed("watch event");
        read.events.push_back(std::move(event));
    }
    return read;
}

absl::Status readError(int httpStatus, absl::string_view body)
{
    Json answer = parseObject(body);
    std::int64_t code = 0;
    std::string message = absl::StrCat("store answered status ", httpStatus);
    if (answer.is_null())
        return absl::UnavailableError(message);
    // In a stream the error is an object of its own.
    auto nested = answer.find("error");
    const Json& error = nested != answer.end() && nested->is_object() ? *nested : answer;
    if (!readNumber(error, "code", code) || (code == 0 && !readNumber(error, "grpc_code", code)))
        code = 0;
    auto text = error.find("message");
    if (text != error.end() && text->is_string())
        message = text->get<std::string>();
    constexpr std::int64_t highestCode = 16;
    if (code <= 0 || code > highestCode)
        return absl::UnavailableError(message);
    return { static_cast<absl::StatusCode>(code), message };
}

bool provesNotApplied(const absl::Status& error)
{
    switch (error.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kResourceExhausted:
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kUnimplemented:
    case absl::StatusCode::kUnauthenticated:
        return true;
    default:
        // Among these are a change of leader and a timeout inside the store,
        // after which the write may still be made.
        return false;
    }
}

} // namespace catkinwing
