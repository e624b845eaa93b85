#include "catkinwing/Support/Logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace catkinwing {

// The layout passes the message through: it already is a JSON object, whose
// fields log4cxx's JSONLayout would fold into one quoted string.
void initializeLogging()
{
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
}

static log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

static const char* levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

void logChange(LogLevel level, const std::string& event, const nlohmann::json& fields)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::json line = {
        { "time_ms", duration_cast<milliseconds>(sinceEpoch).count() },
        { "level", levelName(level) },
        { "event", event },
    };
    if (fields.is_object())
        line.update(fields);
    auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    log4cxx::Logger::getLogger("catkinwing")->log(toLevel(level), text);
}

} // namespace catkinwing
