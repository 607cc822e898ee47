#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace sesame {

enum class LogLevel { Debug, Info, Warning, Error };

/*!
    A named value of a log line. The text of prompts and responses must never be logged.
*/
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/*!
    Starts logging to standard error, one JSON object per line. Lines below \a level ("debug",
    "info", "warning" or "error") are suppressed. \a node is written to each line. Returns false if
    \a level is not one of these names.
*/
bool initializeLog(std::string_view level, std::string_view node);

/*!
    Like initializeLog(), but writes to standard output from a separate thread with a bounded queue,
    so that a slow reader of the output never delays the caller. If the queue is full, new lines are
    dropped and counted.
*/
bool initializeQueuedLog(std::string_view level, std::string_view node);

/*!
    Returns the number of lines that were dropped because the queue was full.
*/
std::uint64_t droppedLogLines();

/*!
    Stops the queued log after writing the lines that are still in the queue.
*/
void finishQueuedLog();

/*!
    Writes a log line with the time, the level, the node, the name \a event and \a fields.
*/
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace sesame
