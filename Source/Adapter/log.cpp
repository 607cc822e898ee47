#include "Adapter/log.h"

#include "Adapter/json.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>

namespace sesame {

namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> levelNames {"debug", "info", "warning", "error"};

std::string nodeName;

std::atomic<std::uint64_t> droppedLines {0};

/*!
    Overflow strategy of the log queue: if the queue is full, a new line is dropped and counted. The
    function names are those that Boost.Log prescribes.
*/
struct CountedDropOnOverflow
{
    // NOLINTBEGIN(readability-identifier-naming)
    template <typename Lock>
    static bool on_overflow(const logging::record_view & /*record*/, Lock & /*lock*/)
    {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() { }
    static void interrupt() { }
    // NOLINTEND(readability-identifier-naming)
};

//! Maximum number of queued lines, which take about 1 MB.
constexpr std::size_t queueCapacityLines = 4096;
using QueuedSink = logging::sinks::asynchronous_sink<
        logging::sinks::text_ostream_backend,
        logging::sinks::bounded_fifo_queue<queueCapacityLines, CountedDropOnOverflow>>;
boost::shared_ptr<QueuedSink> queuedSink;

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", LogLevel)

std::int64_t wallMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

json_t *makeJsonValue(const LogField &field)
{
    if (const auto *text = std::get_if<std::string_view>(&field.value))
        return json_stringn(text->data(), text->size());
    if (const auto *integer = std::get_if<std::int64_t>(&field.value))
        return json_integer(*integer);
    if (const auto *number = std::get_if<double>(&field.value))
        return json_real(*number);
    return json_boolean(std::get<bool>(field.value));
}

} // namespace

bool setLevel(std::string_view level, std::string_view node);

bool initializeLog(std::string_view level, std::string_view node)
{
    namespace expressions = logging::expressions;
    namespace keywords = logging::keywords;
    if (!setLevel(level, node))
        return false;
    logging::add_console_log(std::clog,
                             keywords::format = expressions::stream << expressions::smessage,
                             keywords::auto_flush = true);
    return true;
}

bool initializeQueuedLog(std::string_view level, std::string_view node)
{
    if (!setLevel(level, node))
        return false;
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    queuedSink = boost::make_shared<QueuedSink>(backend);
    queuedSink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(queuedSink);
    return true;
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

void finishQueuedLog()
{
    if (!queuedSink)
        return;
    logging::core::get()->remove_sink(queuedSink);
    queuedSink->stop();
    queuedSink->flush();
    queuedSink.reset();
}

bool setLevel(std::string_view level, std::string_view node)
{
    for (std::size_t n = 0; n < levelNames.size(); ++n) {
        if (levelNames[n] != level)
            continue;
        nodeName = node;
        const auto threshold = static_cast<LogLevel>(n);
        logging::core::get()->set_filter(severity >= threshold);
        return true;
    }
    return false;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    thread_local logging::sources::severity_logger<LogLevel> logger;
    logging::record record = logger.open_record(logging::keywords::severity = level);
    if (!record)
        return;
    const JsonPtr line(json_object());
    json_object_set_new(line.get(), "time_unix_ms", json_integer(wallMillis()));
    const std::string_view levelName = levelNames[static_cast<std::size_t>(level)];
    json_object_set_new(line.get(), "level", json_stringn(levelName.data(), levelName.size()));
    json_object_set_new(line.get(), "node", json_stringn(nodeName.data(), nodeName.size()));
    json_object_set_new(line.get(), "event", json_stringn(event.data(), event.size()));
    for (const LogField &field : fields)
        json_object_set_new(line.get(), std::string(field.name).c_str(), makeJsonValue(field));
    logging::record_ostream stream(record);
    stream << dumpJson(line.get());
    stream.flush();
    logger.push_record(std::move(record));
}

} // namespace sesame
