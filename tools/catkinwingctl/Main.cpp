// Without this the library splits arguments at commas, and JSON has many.
#define CXXOPTS_VECTOR_DELIMITER '\0'

#include "Commands.h"

#include "catkinwing/Support/Version.h"
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

using namespace catkinwing;

static cxxopts::Options makeOptions()
{
    cxxopts::Options options("catkinwingctl", "Operator's command of the catkinwing inference gateway.\n\n"
                                              "Commands:\n"
                                              "  validate FOLDER|FILE   check a configuration folder, document or settings file\n"
                                              "  check FILE             check a configuration of routes before it is sent; exits with 1 if it finds anything\n"
                                              "  diff FOLDER            show what apply would change\n"
                                              "  apply FOLDER           send the documents that differ\n"
                                              "  get [PATH]             print a document, or all revisions\n"
                                              "  status                 show entries, endpoints, shares and revisions\n"
                                              "  limits                 show limits of workspaces and endpoints; for entries that route by host and path\n"
                                              "  explain QUESTION       say where a request would go; QUESTION is JSON with team and model\n"
                                              "  explain-request ID LOG...  tell the story of one request from entries' logs\n"
                                              "  report burn            service-level burn of all entries\n"
                                              "  drain                  shut the first entry down gracefully\n");
    options.positional_help("COMMAND [ARGUMENT]");
    options.add_options()("entry", "operators' address of an entry; may be repeated", cxxopts::value<std::vector<std::string>>(), "IP:PORT");
    options.add_options()("token", "operator token; default: the variable CATKINWING_TOKEN", cxxopts::value<std::string>(), "TOKEN");
    options.add_options()("authority", "certificate authority of the entries, for TLS", cxxopts::value<std::string>(), "FILE");
    options.add_options()("certificate", "own certificate, where entries ask for one", cxxopts::value<std::string>()->default_value(""), "FILE");
    options.add_options()("key", "key of the own certificate", cxxopts::value<std::string>()->default_value(""), "FILE");
    options.add_options()("format", "table, json or html", cxxopts::value<std::string>()->default_value("table"), "FORM");
    options.add_options()("path", "only this document, such as teams/NAME", cxxopts::value<std::string>()->default_value(""), "PATH");
    options.add_options()("prune", "apply: delete documents that the folder lacks");
    options.add_options()("write-id", "apply: name of the write, to send it again safely", cxxopts::value<std::string>()->default_value(""), "ID");
    options.add_options()("against", "check: file with the configuration in force", cxxopts::value<std::string>()->default_value(""), "FILE");
    options.add_options()("version", "print the version")("help", "print this help");
    options.add_options("positional")("command", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("command");
    return options;
}

static int usageFault(const std::string& message)
{
    std::cerr << "catkinwingctl: " << message << "; see --help\n";
    return exitUsage;
}

static absl::StatusOr<CommandOptions> readOptions(const cxxopts::ParseResult& arguments)
{
    CommandOptions options;
    if (arguments.count("entry")) {
        for (const std::string& text : arguments["entry"].as<std::vector<std::string>>()) {
            absl::StatusOr<SocketAddress> address = parseSocketAddress(text);
            if (!address.ok())
                return address.status();
            options.entries.push_back(*address);
        }
    }
    options.format = arguments["format"].as<std::string>();
    if (options.format != "table" && options.format != "json" && options.format != "html")
        return absl::InvalidArgumentError("format '" + options.format + "' is not table, json or html");
    options.path = arguments["path"].as<std::string>();
    options.prune = arguments.count("prune") > 0;
    options.writeId = arguments["write-id"].as<std::string>();
    options.against = arguments["against"].as<std::string>();
    return options;
}

static absl::StatusOr<std::shared_ptr<TlsContext>> readTls(const cxxopts::ParseResult& arguments)
{
    if (!arguments.count("authority"))
        return std::shared_ptr<TlsContext>();
    return TlsContext::forClient({ arguments["certificate"].as<std::string>(), arguments["key"].as<std::string>(), arguments["authority"].as<std::string>() });
}

static int runRemote(OperatorClient& client, const CommandOptions& options, const std::vector<std::string>& words)
{
    const std::string& command = words.front();
    std::string argument = words.size() > 1 ? words[1] : "";
    if (command == "get")
        return getCommand(client, options, argument);
    if (command == "status")
        return statusCommand(client, options);
    if (command == "limits")
        return limitsCommand(client, options);
    if (command == "drain")
        return drainCommand(client, options);
    if (argument.empty())
        return usageFault("command '" + command + "' is not known or needs an argument");
    if (command == "diff")
        return diffCommand(client, options, argument);
    if (command == "apply")
        return applyCommand(client, options, argument);
    if (command == "explain")
        return explainCommand(client, options, argument);
    if (command == "report" && argument == "burn")
        return burnCommand(client, options);
    return usageFault("command '" + command + "' is not known");
}

static int run(const cxxopts::ParseResult& arguments)
{
    if (!arguments.count("command"))
        return usageFault("no command given");
    std::vector<std::string> words = arguments["command"].as<std::vector<std::string>>();
    absl::StatusOr<CommandOptions> options = readOptions(arguments);
    if (!options.ok())
        return usageFault(std::string(options.status().message()));
    if (words.front() == "validate")
        return words.size() == 2 ? validateCommand(words[1]) : usageFault("validate takes one folder or file");
    if (words.front() == "check")
        return words.size() == 2 ? checkCommand(*options, words[1]) : usageFault("check takes one file");
    if (words.front() == "explain-request")
        return words.size() > 2 ? explainRequestCommand(words) : usageFault("explain-request takes a request's id and log files");
    if (options->entries.empty())
        return usageFault("--entry IP:PORT is needed");
    absl::StatusOr<std::shared_ptr<TlsContext>> tls = readTls(arguments);
    if (!tls.ok()) {
        std::cerr << "catkinwingctl: " << tls.status().message() << "\n";
        return exitFailure;
    }
    const char* variable = std::getenv("CATKINWING_TOKEN");
    std::string token = arguments.count("token") ? arguments["token"].as<std::string>() : std::string(variable ? variable : "");
    OperatorClient client(token, *std::move(tls));
    return runRemote(client, *options, words);
}

int main(int argc, char** argv)
{
    cxxopts::Options options = makeOptions();
    try {
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help({ "" }) << "\n";
            return exitOk;
        }
        if (arguments.count("version")) {
            std::cout << "catkinwingctl " << versionString() << "\n";
            return exitOk;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception& fault) {
        return usageFault(fault.what());
    }
}
