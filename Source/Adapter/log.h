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
    Like initializeLog(), but writes to standard output through a bounded queue and a thread of its
    own, so that a slow reader never delays the caller. Lines that find the queue full are dropped
    and counted.
*/
bool initializeQueuedLog(std::string_view level, std::string_view node);

/*!
    Returns how many lines have been dropped.
*/
std::uint64_t droppedLogLines();

/*!
    Writes the queued lines and ends the queue.
*/
void finishQueuedLog();

/*!
    Writes one line with time, level, node, \a event and \a fields.
*/
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace sesame
