#include "Commands.h"

#include "catkinwing/Reporting/BurnReport.h"
#include <absl/strings/str_cat.h>
#include <iostream>

namespace catkinwing {

static absl::StatusOr<std::string> fetchBody(OperatorClient& client, const SocketAddress& entry, const std::string& method, const std::string& target, std::string body = {})
{
    absl::StatusOr<OperatorAnswer> answer = client.call(entry, method, target, {}, std::move(body));
    if (!answer.ok())
        return answer.status();
    constexpr int firstError = 300;
    if (answer->status >= firstError)
        return absl::FailedPreconditionError(absl::StrCat("entry ", entry.toString(), ": status ", answer->status, ": ", answer->body));
    return answer->body;
}

static int printResult(const absl::StatusOr<std::string>& text)
{
    if (!text.ok()) {
        std::cerr << "catkinwingctl: " << text.status().message() << "\n";
        return exitFailure;
    }
    std::cout << *text << "\n";
    return exitOk;
}

static void printStatusTable(const nlohmann::json& status)
{
    const nlohmann::json& entry = status.at("entry");
    std::cout << "entry " << entry.at("name").get<std::string>() << "  zone " << entry.at("zone").get<std::string>() << "  region " << entry.at("region").get<std::string>()
              << (status.at("ready").get<bool>() ? "  ready" : "  not ready") << (status.at("draining").get<bool>() ? "  draining" : "") << "\n";
    const nlohmann::json& requests = status.at("requests");
    std::cout << "  requests: " << requests.at("running") << " running, " << requests.at("queued") << " queued\n";
    const nlohmann::json& config = status.at("config");
    std::cout << "  configuration: digest " << config.at("digest").get<std::string>() << ", " << config.at("documents").size() << " documents"
              << (config.at("following").get<bool>() ? ", follows the store" : "") << "\n";
    for (const nlohmann::json& member : status.at("members"))
        std::cout << "  member " << member.at("name").get<std::string>() << ": " << member.at("state").get<std::string>() << (member.at("draining").get<bool>() ? ", draining" : "") << "\n";
    for (const nlohmann::json& zone : status.at("zones"))
        std::cout << "  zone " << zone.at("zone").get<std::string>() << " of " << zone.at("region").get<std::string>() << ": " << (zone.at("reachable").get<bool>() ? "reachable" : "cut off") << "\n";
    for (const nlohmann::json& endpoint : status.at("endpoints"))
        std::cout << "  endpoint " << endpoint.at("name").get<std::string>() << ": " << endpoint.at("state").get<std::string>() << ", " << endpoint.at("in_flight") << " in flight of " << endpoint.at("credits")
                  << (endpoint.at("checks_caller").get<bool>() ? "" : ", takes orders from anyone") << "\n";
    for (const nlohmann::json& served : status.at("served"))
        std::cout << "  team " << served.at("team").get<std::string>() << ": " << served.at("served_tokens") << " tokens of " << served.at("pool").get<std::string>() << "\n";
}

static void printLimitsTable(const nlohmann::json& limits)
{
    std::cout << "entry " << limits.at("entry").get<std::string>() << "  version " << limits.at("version") << ", heard " << limits.at("store_age_ms") << " ms ago\n";
    for (const nlohmann::json& row : limits.at("workspaces"))
        std::cout << "  workspace " << row.at("workspace").get<std::string>() << ": limit " << row.at("limit_per_second") << " a second, share " << row.at("share_per_second") << ", asked "
                  << row.at("asked_per_second") << ", credit " << row.at("credit") << ", at the pool here " << row.at("pool_credit") << "; " << row.at("granted") << " granted, "
                  << row.at("refused") << " refused\n";
    for (const nlohmann::json& row : limits.at("endpoints"))
        std::cout << "  endpoint " << row.at("endpoint").get<std::string>() << " of " << row.at("service").get<std::string>() << ": limit " << row.at("limit_per_second") << " a second, share "
                  << row.at("share_per_second") << ", " << row.at("other_holders").size() << " other holders, confirmed " << row.at("confirmed_ms_ago") << " ms ago\n";
}

/// Prints what each entry answers to \p target, as JSON or by \p printTable.
static int printEntries(OperatorClient& client, const CommandOptions& options, const char* target, void (*printTable)(const nlohmann::json& answer))
{
    int result = exitOk;
    for (const SocketAddress& address : options.entries) {
        absl::StatusOr<std::string> body = fetchBody(client, address, "GET", target);
        if (!body.ok()) {
            std::cout << "entry at " << address.toString() << " did not answer: " << body.status().message() << "\n";
            result = exitFailure;
            continue;
        }
        if (options.format == "json") {
            std::cout << *body << "\n";
            continue;
        }
        try {
            printTable(nlohmann::json::parse(*body));
        } catch (const nlohmann::json::exception& fault) {
            std::cerr << "catkinwingctl: entry " << address.toString() << ": " << fault.what() << "\n";
            result = exitFailure;
        }
    }
    return result;
}

int statusCommand(OperatorClient& client, const CommandOptions& options)
{
    return printEntries(client, options, "/v1/status", printStatusTable);
}

int limitsCommand(OperatorClient& client, const CommandOptions& options)
{
    return printEntries(client, options, "/limits", printLimitsTable);
}

int explainCommand(OperatorClient& client, const CommandOptions& options, const std::string& question)
{
    return printResult(fetchBody(client, options.entries.front(), "POST", "/v1/explain", question));
}

int drainCommand(OperatorClient& client, const CommandOptions& options)
{
    return printResult(fetchBody(client, options.entries.front(), "POST", "/v1/drain"));
}

static EntryServiceLevels askServiceLevels(OperatorClient& client, const SocketAddress& address)
{
    EntryServiceLevels entry;
    entry.entry = address.toString();
    absl::StatusOr<std::string> body = fetchBody(client, address, "GET", "/v1/service-levels");
    if (!body.ok()) {
        entry.status = body.status();
        return entry;
    }
    absl::StatusOr<std::vector<ServiceLevelLine>> lines = serviceLevelLinesFromJson(nlohmann::json::parse(*body, nullptr, false));
    entry.status = lines.status();
    if (lines.ok())
        entry.lines = *std::move(lines);
    return entry;
}

int burnCommand(OperatorClient& client, const CommandOptions& options)
{
    std::vector<EntryServiceLevels> entries;
    for (const SocketAddress& address : options.entries)
        entries.push_back(askServiceLevels(client, address));
    BurnReport report = makeBurnReport(entries);
    if (options.format == "json")
        std::cout << renderBurnJson(report).dump(2) << "\n";
    else if (options.format == "html")
        std::cout << renderBurnHtml(report);
    else
        std::cout << renderBurnTable(report);
    return report.missing.empty() ? exitOk : exitFailure;
}

} // namespace catkinwing
