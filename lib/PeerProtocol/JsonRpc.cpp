// The library's headers use dynamic exception specifications, so this source
// alone is built as C++14. Its connectors block and start threads; only its
// codecs are used, with a connector that holds the bytes in memory.
#include "JsonRpc.h"

#include <absl/strings/str_cat.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <memory>

namespace catkinwing {

static const char* const answerMethod = "answer";

namespace {

    // Keeps the calls that the protocol handler has checked.
    class CallCollector final : public jsonrpc::IProcedureInvokationHandler {
    public:
        void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
        {
            m_calls.push_back(RpcCall { procedure.GetProcedureName(), input });
            output = Json::Value(true);
        }

        void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/) override { }

        std::vector<RpcCall> takeCalls() { return std::move(m_calls); }

    private:
        std::vector<RpcCall> m_calls;
    };

    // Gives the prepared results in their order.
    class ResultSource final : public jsonrpc::IProcedureInvokationHandler {
    public:
        explicit ResultSource(const std::vector<Json::Value>& results)
            : m_results(results)
        {
        }

        void HandleMethodCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/, Json::Value& output) override
        {
            output = m_results[m_next++];
        }

        void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/) override { }

    private:
        const std::vector<Json::Value>& m_results;
        std::size_t m_next { 0 };
    };

    // Hands the client bytes that have been received already.
    class ReceivedBytes final : public jsonrpc::IClientConnector {
    public:
        explicit ReceivedBytes(const std::string& bytes)
            : m_bytes(bytes)
        {
        }

        void SendRPCMessage(const std::string& /*message*/, std::string& result) noexcept override { result = m_bytes; }

    private:
        const std::string& m_bytes;
    };

} // namespace

static std::unique_ptr<jsonrpc::IProtocolHandler> makeHandler(jsonrpc::IProcedureInvokationHandler& target, const std::vector<const char*>& methods)
{
    std::unique_ptr<jsonrpc::IProtocolHandler> handler(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, target));
    for (const char* method : methods)
        handler->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_BOOLEAN, nullptr));
    return handler;
}

static jsonrpc::BatchResponse parseAnswers(const std::string& bytes)
{
    ReceivedBytes received(bytes);
    jsonrpc::Client client(received);
    jsonrpc::BatchResponse response;
    client.CallProcedures(jsonrpc::BatchCall(), response);
    return response;
}

static bool isAnswered(jsonrpc::BatchResponse& response, std::size_t id)
{
    Json::Value key(static_cast<Json::Int>(id));
    Json::Value result;
    response.getResult(key, result);
    return result.isBool() && result.asBool();
}

static bool isUnknownMethod(jsonrpc::BatchResponse& response, std::size_t id)
{
    Json::Value key(static_cast<Json::Int>(id));
    return response.getErrorCode(key) == rpcUnknownMethod;
}

// Replies are matched by ids that count from 1, so calls must carry just these.
static absl::Status checkOutcome(jsonrpc::BatchResponse& response, std::size_t calls)
{
    for (std::size_t id = 1; id <= calls + 1; ++id) {
        if (isUnknownMethod(response, id))
            return absl::UnimplementedError("batch: unknown method");
    }
    if (response.hasErrors())
        return absl::InvalidArgumentError("batch: a call is malformed");
    for (std::size_t id = 1; id <= calls; ++id) {
        if (!isAnswered(response, id))
            return absl::InvalidArgumentError("batch: the ids don't count from 1");
    }
    return absl::OkStatus();
}

std::string encodeCalls(const std::vector<RpcCall>& calls)
{
    jsonrpc::BatchCall batch;
    for (const RpcCall& call : calls)
        batch.addCall(call.method, call.params);
    return batch.toString();
}

absl::StatusOr<std::vector<RpcCall>> decodeCalls(const std::string& bytes, const std::vector<const char*>& methods)
{
    try {
        CallCollector collector;
        std::string outcome;
        makeHandler(collector, methods)->HandleRequest(bytes, outcome);
        std::vector<RpcCall> calls = collector.takeCalls();
        jsonrpc::BatchResponse response = parseAnswers(outcome);
        absl::Status fault = checkOutcome(response, calls.size());
        if (!fault.ok())
            return fault;
        return calls;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(absl::StrCat("batch: ", error.what()));
    }
}

std::string encodeResults(const std::vector<Json::Value>& results)
{
    jsonrpc::BatchCall batch;
    for (std::size_t i = 0; i < results.size(); ++i)
        batch.addCall(answerMethod, Json::Value(Json::objectValue));
    ResultSource source(results);
    std::string bytes;
    makeHandler(source, { answerMethod })->HandleRequest(batch.toString(), bytes);
    return bytes;
}

static absl::StatusOr<RpcAnswer> answerOf(jsonrpc::BatchResponse& response, std::size_t id)
{
    Json::Value key(static_cast<Json::Int>(id));
    RpcAnswer answer;
    answer.errorCode = response.getErrorCode(key);
    answer.errorMessage = response.getErrorMessage(key);
    response.getResult(key, answer.result);
    if (answer.errorCode == 0 && answer.result.isNull())
        return absl::InvalidArgumentError(absl::StrCat("batch: no answer to call ", id));
    return answer;
}

absl::StatusOr<std::vector<RpcAnswer>> decodeAnswers(const std::string& bytes, std::size_t expected)
{
    try {
        jsonrpc::BatchResponse response = parseAnswers(bytes);
        std::vector<RpcAnswer> answers;
        for (std::size_t id = 1; id <= expected; ++id) {
            absl::StatusOr<RpcAnswer> answer = answerOf(response, id);
            if (!answer.ok())
                return answer.status();
            answers.push_back(*std::move(answer));
        }
        return answers;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(absl::StrCat("batch: ", error.what()));
    }
}

} // namespace catkinwing
