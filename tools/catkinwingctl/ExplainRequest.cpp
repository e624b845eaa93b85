#include "Commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

namespace catkinwing {

namespace {

    /// One line of an entry's log.
    struct LoggedEvent {
        std::int64_t atMilliseconds { 0 };
        /// The file, or what stands before the line's object.
        std::string entry;
        nlohmann::json fields;
    };

} // namespace

static std::string textOf(const nlohmann::json& fields, const char* name)
{
    auto found = fields.find(name);
    if (found == fields.end())
        return "";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

// A collector may have put its own time and the instance's name before the line.
static std::optional<LoggedEvent> readLine(const std::string& line, const std::string& file)
{
    std::size_t begin = line.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    nlohmann::json fields = nlohmann::json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
    if (!fields.is_object() || !fields.contains("event"))
        return std::nullopt;
    LoggedEvent event;
    event.atMilliseconds = fields.value("time_ms", std::int64_t { 0 });
    event.entry = begin > 0 ? line.substr(0, begin) : file + " ";
    event.fields = std::move(fields);
    return event;
}

static std::string tell(const nlohmann::json& fields)
{
    std::string event = textOf(fields, "event");
    std::string took = textOf(fields, "took_ms") + " ms";
    if (event == "attempt_failed") {
        return "attempt " + textOf(fields, "attempt") + " to " + textOf(fields, "to") + " in " + textOf(fields, "region") + " (" + textOf(fields, "why") + ") came to "
            + textOf(fields, "verdict") + " after " + took + ": status " + textOf(fields, "status") + " " + textOf(fields, "detail");
    }
    if (event != "request_ended")
        return event + " " + fields.dump();
    std::string story = fields.value("forwarded", false) ? "forwarded request" : "client's request";
    story += " on route " + textOf(fields, "route") + " (configuration " + textOf(fields, "version") + ") ended " + textOf(fields, "outcome");
    if (!textOf(fields, "reason").empty())
        story += " (" + textOf(fields, "reason") + ")";
    story += ", status " + textOf(fields, "status") + ", after " + took;
    if (fields.contains("first_byte_ms"))
        story += ", first byte after " + textOf(fields, "first_byte_ms") + " ms";
    if (fields.contains("to"))
        story += "; " + textOf(fields, "attempts") + " attempts, the last to " + textOf(fields, "to") + " (" + textOf(fields, "why") + ")";
    return story;
}

static bool readLog(const std::string& name, const std::string& id, std::vector<LoggedEvent>& events)
{
    std::ifstream file(name);
    if (!file) {
        std::cerr << "catkinwingctl: cannot read " << name << "\n";
        return false;
    }
    for (std::string line; std::getline(file, line);) {
        if (line.find(id) == std::string::npos)
            continue;
        std::optional<LoggedEvent> event = readLine(line, name);
        if (event && textOf(event->fields, "request") == id)
            events.push_back(std::move(*event));
    }
    return true;
}

int explainRequestCommand(const std::vector<std::string>& words)
{
    const std::string& id = words[1];
    std::vector<LoggedEvent> events;
    for (std::size_t i = 2; i < words.size(); ++i) {
        if (!readLog(words[i], id, events))
            return exitFailure;
    }
    if (events.empty()) {
        std::cout << "no line about " << id << ": it reached no entry, its lines were dropped (see log_lines_dropped), or these aren't all logs\n";
        return exitFailure;
    }
    std::stable_sort(events.begin(), events.end(), [](const LoggedEvent& a, const LoggedEvent& b) { return a.atMilliseconds < b.atMilliseconds; });
    std::int64_t first = events.front().atMilliseconds;
    for (const LoggedEvent& event : events)
        std::cout << "+" << event.atMilliseconds - first << " ms  " << event.entry << " " << tell(event.fields) << "\n";
    return exitOk;
}

} // namespace catkinwing
