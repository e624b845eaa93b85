#include "Commands.h"

#include "catkinwing/Config/ConfigDocument.h"
#include "catkinwing/Config/ConfigFolder.h"
#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Config/DocumentDiff.h"
#include "catkinwing/Config/JsonText.h"
#include "catkinwing/Config/References.h"
#include "catkinwing/Support/File.h"
#include "catkinwing/Support/Id.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <filesystem>
#include <iostream>

namespace catkinwing {

static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

static void printFaults(const std::string& file, const std::vector<ConfigFault>& faults)
{
    for (const ConfigFault& fault : faults)
        std::cerr << file << ": " << (fault.pointer.empty() ? "/" : fault.pointer) << ": " << fault.message << "\n";
}

// A file is one of the tree's documents if its place says so, else the
// settings of a daemon.
static int validateFile(const std::string& name)
{
    absl::StatusOr<std::string> text = readFile(name);
    if (!text.ok()) {
        std::cerr << "catkinwingctl: " << text.status().message() << "\n";
        return exitFailure;
    }
    std::filesystem::path file(name);
    std::string folder = file.parent_path().filename().string();
    std::string stem = file.stem().string();
    absl::StatusOr<DocumentPath> path = parseDocumentPath(stem == "global" ? stem : absl::StrCat(folder, "/", stem));
    std::vector<ConfigFault> faults = path.ok() ? parseDocument(*path, *text).faults : parseDaemonSettings(*text).faults;
    printFaults(name, faults);
    return faults.empty() ? exitOk : exitFailure;
}

int validateCommand(const std::string& target)
{
    if (!std::filesystem::is_directory(target))
        return validateFile(target);
    LoadedTree tree = loadTree(target);
    for (const FileFaults& file : tree.faults)
        printFaults(absl::StrCat(target, "/", file.file), file.faults);
    for (const ConfigWarning& warning : findUnresolvedReferences(*tree.snapshot))
        std::cerr << "warning: " << warning.path.toString() << ": " << warning.pointer << ": " << warning.message << "\n";
    if (!tree.ok())
        return exitFailure;
    std::cout << tree.documents.size() << " documents are valid\n";
    return exitOk;
}

namespace {

    /// A document as an entry has it in force.
    struct PresentDocument {
        std::int64_t revision { 0 };
        /// Empty if there is none.
        std::optional<std::string> text;
    };

    /// What is to be done with one document.
    struct PlannedWrite {
        DocumentPath path;
        PresentDocument present;
        /// Empty to delete it.
        std::optional<std::string> wanted;
    };

} // namespace

static absl::StatusOr<PresentDocument> fetch(OperatorClient& client, const SocketAddress& entry, const std::string& path)
{
    absl::StatusOr<OperatorAnswer> answer = client.call(entry, "GET", absl::StrCat("/v1/config/", path));
    if (!answer.ok())
        return answer.status();
    if (answer->status != statusOk && answer->status != statusNotFound)
        return absl::FailedPreconditionError(absl::StrCat(path, ": status ", answer->status, ": ", answer->body));
    PresentDocument present;
    const std::string* revision = answer->headers.find("Catkinwing-Revision");
    if (!revision || !absl::SimpleAtoi(*revision, &present.revision))
        return absl::DataLossError(absl::StrCat(path, ": the answer has no revision"));
    if (answer->status == statusOk)
        present.text = answer->body;
    return present;
}

static std::vector<DocumentChange> changesOf(const PlannedWrite& write)
{
    ConfigResult<nlohmann::json> present = parseJsonText(write.present.text.value_or("null"));
    ConfigResult<nlohmann::json> wanted = parseJsonText(write.wanted.value_or("null"));
    return diffDocuments(present.document.value_or(nullptr), wanted.document.value_or(nullptr));
}

static absl::StatusOr<std::vector<PlannedWrite>> planDeletions(OperatorClient& client, const SocketAddress& entry, const LoadedTree& tree)
{
    absl::StatusOr<OperatorAnswer> answer = client.call(entry, "GET", "/v1/config");
    if (!answer.ok())
        return answer.status();
    std::vector<PlannedWrite> plan;
    nlohmann::json listing = nlohmann::json::parse(answer->body, nullptr, false);
    if (!listing.is_object())
        return absl::DataLossError(absl::StrCat("entry ", entry.toString(), ": the list of documents can't be read"));
    for (const nlohmann::json& item : listing.value("documents", nlohmann::json::array())) {
        absl::StatusOr<DocumentPath> path = parseDocumentPath(item.value("path", std::string()));
        bool isWanted = path.ok() && std::any_of(tree.documents.begin(), tree.documents.end(), [&](const LoadedDocument& document) { return document.path == *path; });
        if (!path.ok() || isWanted || item.value("deleted", false))
            continue;
        absl::StatusOr<PresentDocument> present = fetch(client, entry, path->toString());
        if (!present.ok())
            return present.status();
        plan.push_back({ *path, *present, std::nullopt });
    }
    return plan;
}

static absl::StatusOr<std::vector<PlannedWrite>> planWrites(OperatorClient& client, const CommandOptions& options, const std::string& folder)
{
    LoadedTree tree = loadTree(folder);
    for (const FileFaults& file : tree.faults)
        printFaults(absl::StrCat(folder, "/", file.file), file.faults);
    if (!tree.ok())
        return absl::InvalidArgumentError(absl::StrCat("folder ", folder, " has faults; nothing was sent"));
    std::vector<PlannedWrite> plan;
    for (const LoadedDocument& document : tree.documents) {
        if (!options.path.empty() && options.path != document.path.toString())
            continue;
        absl::StatusOr<PresentDocument> present = fetch(client, options.entries.front(), document.path.toString());
        if (!present.ok())
            return present.status();
        PlannedWrite write { document.path, *present, document.text };
        if (!present->text || !changesOf(write).empty())
            plan.push_back(std::move(write));
    }
    if (!options.prune)
        return plan;
    absl::StatusOr<std::vector<PlannedWrite>> deletions = planDeletions(client, options.entries.front(), tree);
    if (!deletions.ok())
        return deletions.status();
    plan.insert(plan.end(), deletions->begin(), deletions->end());
    return plan;
}

static void printChanges(const PlannedWrite& write)
{
    std::cout << write.path.toString() << " (revision " << write.present.revision << ")" << (write.wanted ? "" : ": deleted") << "\n";
    for (const DocumentChange& change : changesOf(write)) {
        if (change.oldValue)
            std::cout << "  - " << change.pointer << ": " << change.oldValue->dump() << "\n";
        if (change.newValue)
            std::cout << "  + " << change.pointer << ": " << change.newValue->dump() << "\n";
    }
}

static int reportFailure(const absl::Status& status)
{
    std::cerr << "catkinwingctl: " << status.message() << "\n";
    return exitFailure;
}

int diffCommand(OperatorClient& client, const CommandOptions& options, const std::string& folder)
{
    absl::StatusOr<std::vector<PlannedWrite>> plan = planWrites(client, options, folder);
    if (!plan.ok())
        return reportFailure(plan.status());
    for (const PlannedWrite& write : *plan)
        printChanges(write);
    return exitOk;
}

static absl::StatusOr<OperatorAnswer> sendWrite(OperatorClient& client, const SocketAddress& entry, const PlannedWrite& write, const std::string& writeId)
{
    HttpHeaders headers { { "Catkinwing-Revision", absl::StrCat(write.present.revision) }, { "Catkinwing-Write-Id", writeId }, { "Content-Type", "application/json" } };
    std::string target = absl::StrCat("/v1/config/", write.path.toString());
    return client.call(entry, write.wanted ? "PUT" : "DELETE", target, std::move(headers), write.wanted.value_or(""));
}

// A write whose answer is lost is sent again under its id, to the next entry.
static absl::StatusOr<OperatorAnswer> sendUntilKnown(OperatorClient& client, const CommandOptions& options, const PlannedWrite& write, const std::string& writeId)
{
    constexpr int rounds = 3;
    constexpr int firstServerError = 500;
    absl::StatusOr<OperatorAnswer> answer = absl::UnavailableError("no entry was asked");
    for (int round = 0; round < rounds; ++round) {
        for (const SocketAddress& entry : options.entries) {
            answer = sendWrite(client, entry, write, writeId);
            if (answer.ok() && answer->status < firstServerError)
                return answer;
        }
    }
    return answer;
}

int applyCommand(OperatorClient& client, const CommandOptions& options, const std::string& folder)
{
    absl::StatusOr<std::vector<PlannedWrite>> plan = planWrites(client, options, folder);
    if (!plan.ok())
        return reportFailure(plan.status());
    Random random = Random::fromSystem();
    int result = exitOk;
    for (const PlannedWrite& write : *plan) {
        std::string writeId = options.writeId.empty() ? makeId(random) : absl::StrCat(options.writeId, "/", write.path.toString());
        absl::StatusOr<OperatorAnswer> answer = sendUntilKnown(client, options, write, writeId);
        if (!answer.ok())
            return reportFailure(answer.status());
        std::cout << write.path.toString() << ": " << answer->status << " " << answer->body << "\n";
        if (answer->status != statusOk)
            result = exitFailure;
    }
    if (plan->empty())
        std::cout << "nothing to change\n";
    return result;
}

int getCommand(OperatorClient& client, const CommandOptions& options, const std::string& path)
{
    std::string target = path.empty() ? "/v1/config" : absl::StrCat("/v1/config/", path);
    absl::StatusOr<OperatorAnswer> answer = client.call(options.entries.front(), "GET", target);
    if (!answer.ok())
        return reportFailure(answer.status());
    std::cout << answer->body << "\n";
    return answer->status == statusOk ? exitOk : exitFailure;
}

} // namespace catkinwing
