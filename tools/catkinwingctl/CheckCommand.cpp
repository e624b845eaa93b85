// Checks the configuration of entries that route by host and path before it is sent.
#include "Commands.h"

#include "catkinwing/Config/DocumentDiff.h"
#include "catkinwing/Config/JsonText.h"
#include "catkinwing/Config/RouteTableCheck.h"
#include "catkinwing/Support/File.h"
#include "platform/Documents.h"
#include <absl/strings/str_cat.h>
#include <iostream>

namespace catkinwing {

namespace {

    /// One file with a configuration.
    struct CheckedFile {
        nlohmann::json document;
        ConfigResult<RouteTable> table;
    };

} // namespace

static std::optional<CheckedFile> readCheckedFile(const std::string& name)
{
    absl::StatusOr<std::string> text = readFile(name);
    if (!text.ok()) {
        std::cerr << "catkinwingctl: " << text.status().message() << "\n";
        return std::nullopt;
    }
    CheckedFile file;
    file.document = platform::withHiddenKeys(parseJsonText(*text).document.value_or(nullptr));
    file.table = platform::readRouteTable(*text);
    return file;
}

static std::vector<ConfigFinding> findingsOf(const CheckedFile& file, const CheckedFile* inForce)
{
    std::vector<ConfigFinding> findings;
    for (const ConfigFault& fault : file.table.faults)
        findings.push_back({ FindingKind::Error, fault.pointer.empty() ? "/" : fault.pointer, fault.message });
    if (!file.table.document)
        return findings;
    for (ConfigFinding& finding : checkRouteTable(*file.table.document))
        findings.push_back(std::move(finding));
    if (!inForce)
        return findings;
    if (!inForce->table.document) {
        findings.push_back({ FindingKind::Error, "--against", "the version in force can't be read" });
        return findings;
    }
    for (ConfigFinding& finding : checkReplacement(*inForce->table.document, *file.table.document))
        findings.push_back(std::move(finding));
    return findings;
}

static void printText(const std::vector<ConfigFinding>& findings, const std::vector<DocumentChange>& changes)
{
    for (const ConfigFinding& finding : findings)
        std::cout << findingWord(finding.kind) << ": " << finding.subject << ": " << finding.message << "\n";
    for (const DocumentChange& change : changes) {
        if (change.oldValue)
            std::cout << "- " << change.pointer << ": " << change.oldValue->dump() << "\n";
        if (change.newValue)
            std::cout << "+ " << change.pointer << ": " << change.newValue->dump() << "\n";
    }
    std::cout << findings.size() << " findings, " << changes.size() << " changes\n";
}

static void printJson(const std::vector<ConfigFinding>& findings, const std::vector<DocumentChange>& changes)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const ConfigFinding& finding : findings)
        rows.push_back({ { "kind", findingWord(finding.kind) }, { "subject", finding.subject }, { "message", finding.message } });
    std::cout << nlohmann::json { { "findings", rows }, { "changes", toJson(changes) } }.dump(2) << "\n";
}

int checkCommand(const CommandOptions& options, const std::string& name)
{
    std::optional<CheckedFile> file = readCheckedFile(name);
    std::optional<CheckedFile> inForce = options.against.empty() ? std::nullopt : readCheckedFile(options.against);
    if (!file || (!options.against.empty() && !inForce))
        return exitFailure;
    std::vector<ConfigFinding> findings = findingsOf(*file, inForce ? &*inForce : nullptr);
    std::vector<DocumentChange> changes;
    if (inForce)
        changes = diffDocuments(inForce->document, file->document);
    if (options.format == "json")
        printJson(findings, changes);
    else
        printText(findings, changes);
    return findings.empty() ? exitOk : exitFailure;
}

} // namespace catkinwing
