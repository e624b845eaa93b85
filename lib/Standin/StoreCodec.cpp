#include "catkinwing/Standin/StoreCodec.h"

#include "catkinwing/Standin/JsonReader.h"
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>

namespace catkinwing::standin {

constexpr const char* clusterId = "14841639068965178418";
constexpr const char* memberId = "10276657743932975437";
constexpr const char* raftTerm = "2";
// In the order of the published enumerations, whose numbers are accepted too.
constexpr const char* targetNames[] = { "VERSION", "CREATE", "MOD", "VALUE", "LEASE" };
constexpr const char* resultNames[] = { "EQUAL", "GREATER", "LESS", "NOT_EQUAL" };

template <std::size_t Size>
static absl::StatusOr<std::size_t> parseEnumeration(const nlohmann::json& document, const char* field, const char* const (&names)[Size])
{
    auto found = document.find(field);
    if (found == document.end())
        return 0;
    if (found->is_number_unsigned() && found->get<std::size_t>() < Size)
        return found->get<std::size_t>();
    const auto* name = found->get_ptr<const std::string*>();
    const auto* position = std::find_if(std::begin(names), std::end(names), [name](const char* candidate) { return name && *name == candidate; });
    if (position == std::end(names))
        return absl::InvalidArgumentError(absl::StrCat("field \"", field, "\" has an unknown value"));
    return static_cast<std::size_t>(position - std::begin(names));
}

static KeyRange readRange(JsonReader& reader)
{
    KeyRange range;
    range.key = reader.bytes("key");
    range.end = reader.bytes("range_end");
    return range;
}

absl::StatusOr<RangeRequest> parseRange(const nlohmann::json& document)
{
    JsonReader reader(document);
    RangeRequest request;
    request.range = readRange(reader);
    request.limit = reader.integer("limit");
    request.keysOnly = reader.flag("keys_only");
    request.countOnly = reader.flag("count_only");
    std::int64_t revision = reader.integer("revision");
    if (!reader.status().ok())
        return reader.status();
    if (revision != 0)
        return absl::UnimplementedError("the stand-in keeps no past values to read");
    return request;
}

absl::StatusOr<PutRequest> parsePut(const nlohmann::json& document)
{
    JsonReader reader(document);
    PutRequest request;
    request.key = reader.bytes("key");
    request.value = reader.bytes("value");
    request.lease = reader.integer("lease");
    request.returnPrevious = reader.flag("prev_kv");
    bool ignores = reader.flag("ignore_value") || reader.flag("ignore_lease");
    if (!reader.status().ok())
        return reader.status();
    if (ignores)
        return absl::UnimplementedError("the stand-in has neither ignore_value nor ignore_lease");
    return request;
}

absl::StatusOr<DeleteRequest> parseDelete(const nlohmann::json& document)
{
    JsonReader reader(document);
    DeleteRequest request;
    request.range = readRange(reader);
    request.returnPrevious = reader.flag("prev_kv");
    if (!reader.status().ok())
        return reader.status();
    return request;
}

static absl::StatusOr<Comparison> parseComparison(const nlohmann::json& document)
{
    if (!document.is_object())
        return absl::InvalidArgumentError("a comparison is not an object");
    auto target = parseEnumeration(document, "target", targetNames);
    if (!target.ok())
        return target.status();
    auto result = parseEnumeration(document, "result", resultNames);
    if (!result.ok())
        return result.status();
    constexpr const char* numberFields[] = { "version", "create_revision", "mod_revision", "", "lease" };
    JsonReader reader(document);
    Comparison comparison;
    comparison.key = reader.bytes("key");
    comparison.target = static_cast<CompareTarget>(*target);
    comparison.result = static_cast<CompareResult>(*result);
    if (comparison.target == CompareTarget::Value)
        comparison.value = reader.bytes("value");
    else
        comparison.number = reader.integer(numberFields[*target]);
    if (!reader.bytes("range_end").empty())
        return absl::UnimplementedError("the stand-in compares single keys only");
    if (!reader.status().ok())
        return reader.status();
    return comparison;
}

template <typename Request>
static absl::StatusOr<StoreOperation> asOperation(absl::StatusOr<Request> request)
{
    if (!request.ok())
        return request.status();
    return StoreOperation(*std::move(request));
}

static absl::StatusOr<StoreOperation> parseOperation(const nlohmann::json& document)
{
    if (!document.is_object())
        return absl::InvalidArgumentError("an operation is not an object");
    JsonReader reader(document);
    if (const auto* range = reader.object("request_range"))
        return asOperation(parseRange(*range));
    if (const auto* put = reader.object("request_put"))
        return asOperation(parsePut(*put));
    if (const auto* deletion = reader.object("request_delete_range"))
        return asOperation(parseDelete(*deletion));
    return absl::UnimplementedError("an operation is none of request_range, request_put and request_delete_range");
}

template <typename Item, typename Parse>
static absl::Status parseList(const nlohmann::json* list, Parse parse, std::vector<Item>& items)
{
    if (!list)
        return absl::OkStatus();
    for (const auto& element : *list) {
        absl::StatusOr<Item> item = parse(element);
        if (!item.ok())
            return item.status();
        items.push_back(*std::move(item));
    }
    return absl::OkStatus();
}

absl::StatusOr<TransactionRequest> parseTransaction(const nlohmann::json& document)
{
    JsonReader reader(document);
    TransactionRequest request;
    absl::Status status = parseList(reader.array("compare"), parseComparison, request.comparisons);
    status.Update(parseList(reader.array("success"), parseOperation, request.success));
    status.Update(parseList(reader.array("failure"), parseOperation, request.failure));
    status.Update(reader.status());
    if (!status.ok())
        return status;
    return request;
}

absl::StatusOr<WatchRequest> parseWatch(const nlohmann::json& document)
{
    JsonReader envelope(document);
    const auto* creation = envelope.object("create_request");
    if (!creation)
        return absl::InvalidArgumentError("a watch has no create_request");
    JsonReader reader(*creation);
    WatchRequest request;
    request.range = readRange(reader);
    request.startRevision = reader.integer("start_revision");
    request.returnPrevious = reader.flag("prev_kv");
    if (!reader.status().ok())
        return reader.status();
    return request;
}

nlohmann::json storeHeader(std::int64_t revision)
{
    return {
        { "cluster_id", clusterId },
        { "member_id", memberId },
        { "revision", absl::StrCat(revision) },
        { "raft_term", raftTerm },
    };
}

static void addNumber(nlohmann::json& document, const char* name, std::int64_t number)
{
    if (number != 0)
        document[name] = absl::StrCat(number);
}

static void addBytes(nlohmann::json& document, const char* name, const std::string& bytes)
{
    if (!bytes.empty())
        document[name] = absl::Base64Escape(bytes);
}

template <typename Values>
static nlohmann::json listToJson(const Values& values)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& value : values)
        list.push_back(toJson(value));
    return list;
}

nlohmann::json toJson(const KeyValue& value)
{
    nlohmann::json document = nlohmann::json::object();
    addBytes(document, "key", value.key);
    addBytes(document, "value", value.value);
    addNumber(document, "create_revision", value.createRevision);
    addNumber(document, "mod_revision", value.modRevision);
    addNumber(document, "version", value.version);
    addNumber(document, "lease", value.lease);
    return document;
}

static nlohmann::json fieldsOf(const RangeResult& result)
{
    nlohmann::json document = nlohmann::json::object();
    if (!result.values.empty())
        document["kvs"] = listToJson(result.values);
    if (result.more)
        document["more"] = true;
    addNumber(document, "count", result.count);
    return document;
}

static nlohmann::json fieldsOf(const PutResult& result)
{
    nlohmann::json document = nlohmann::json::object();
    if (result.previous)
        document["prev_kv"] = toJson(*result.previous);
    return document;
}

static nlohmann::json fieldsOf(const DeleteResult& result)
{
    nlohmann::json document = nlohmann::json::object();
    addNumber(document, "deleted", result.deleted);
    if (!result.previous.empty())
        document["prev_kvs"] = listToJson(result.previous);
    return document;
}

nlohmann::json toJson(const OperationResult& result, std::int64_t revision)
{
    nlohmann::json document = std::visit([](const auto& one) { return fieldsOf(one); }, result);
    document["header"] = storeHeader(revision);
    return document;
}

nlohmann::json toJson(const TransactionResult& result)
{
    constexpr const char* names[] = { "response_range", "response_put", "response_delete_range" };
    nlohmann::json document = { { "header", storeHeader(result.revision) } };
    if (result.succeeded)
        document["succeeded"] = true;
    nlohmann::json responses = nlohmann::json::array();
    for (const OperationResult& one : result.results)
        responses.push_back({ { names[one.index()], toJson(one, result.revision) } });
    if (!responses.empty())
        document["responses"] = std::move(responses);
    return document;
}

nlohmann::json toJson(const KeyEvent& event, bool withPrevious)
{
    nlohmann::json document = { { "kv", toJson(event.current) } };
    if (event.isDeletion)
        document["type"] = "DELETE";
    if (withPrevious && event.previous)
        document["prev_kv"] = toJson(*event.previous);
    return document;
}

nlohmann::json toJson(const absl::Status& status)
{
    std::string message(status.message());
    return {
        { "error", message },
        { "code", static_cast<int>(status.code()) },
        { "message", message },
    };
}

int httpStatusOf(const absl::Status& status)
{
    switch (status.code()) {
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kResourceExhausted:
        return 429;
    case absl::StatusCode::kUnimplemented:
        return 501;
    case absl::StatusCode::kUnavailable:
        return 503;
    default:
        return 400;
    }
}

} // namespace catkinwing::standin
