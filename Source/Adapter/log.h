#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace sesame {

enum class LogLevel { Debug, Info, Warning, Error };

/*!
    A named value of a log line. Prompt and answer text must never be passed here.
*/
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/*!
    Sends log lines of \a level ("debug", "info", "warning", "error") and above to standard
    error, one JSON object a line. Returns false if \a level is none of these.
*/
bool initializeLog(std::string_view level, std::string_view node);

/*!
    Writes one line with time, level, node, \a event and \a fields.
*/
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace sesame
