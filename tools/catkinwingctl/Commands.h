#pragma once

#include "OperatorClient.h"
#include <string>
#include <vector>

namespace catkinwing {

/// Exit codes of the command.
constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// What the command line says, beside the command's own arguments.
struct CommandOptions {
    std::vector<SocketAddress> entries;
    /// Form of a report: "table", "json" or "html".
    std::string format { "table" };
    /// Restricts apply and diff to one document; empty for all of a folder.
    std::string path;
    /// Deletes documents that the folder lacks.
    bool prune { false };
    std::string writeId;
    /// Of check: the file with the configuration in force; empty for none.
    std::string against;
};

/// Checks a folder, a document or a settings file.
int validateCommand(const std::string& target);
/// Checks the configuration of entries that route by host and path, and shows what differs from the
/// one in force. Returns exitFailure if there are findings or a file can't be read.
int checkCommand(const CommandOptions& options, const std::string& name);
/// Shows what apply would change.
int diffCommand(OperatorClient& client, const CommandOptions& options, const std::string& folder);
/// Sends a folder's documents that differ.
int applyCommand(OperatorClient& client, const CommandOptions& options, const std::string& folder);
/// Prints one document or all revisions.
int getCommand(OperatorClient& client, const CommandOptions& options, const std::string& path);
/// Prints the state of the entries.
int statusCommand(OperatorClient& client, const CommandOptions& options);
/// Prints the limits of workspaces and of endpoints, as each entry that routes by host and
/// path knows them.
int limitsCommand(OperatorClient& client, const CommandOptions& options);
/// Explains where a request would go.
int explainCommand(OperatorClient& client, const CommandOptions& options, const std::string& question);
/// Joins what entries logged about one request into one account; \p words hold
/// its id and the log files.
int explainRequestCommand(const std::vector<std::string>& words);
/// Reports service-level burn from all entries.
int burnCommand(OperatorClient& client, const CommandOptions& options);
/// Tells the first entry to drain.
int drainCommand(OperatorClient& client, const CommandOptions& options);

} // namespace catkinwing
