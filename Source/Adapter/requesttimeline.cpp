#include "Adapter/requesttimeline.h"

#include "Core/printabletext.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

namespace sesame {

namespace {

//! Context lines are included from this long before the request's first line, because they may
//! have influenced the outcome.
constexpr std::int64_t contextMillisBefore = 3000;
//! Context lines are included until this long after the request's last line, because other nodes
//! often detect the failure of an engine shortly afterwards.
constexpr std::int64_t contextMillisAfter = 2000;
//! Keys that have their own column or the same value in every line.
constexpr std::array<std::string_view, 6> omittedKeys {"time_unix_ms", "level",   "node",
                                                       "event",        "request", "line"};
//! Prefixes of events that are included if a node of the request logged them, even if they name no
//! engine.
constexpr std::array<std::string_view, 5> nodeEventPrefixes {"config.", "store.", "node.", "clock.",
                                                             "engines.listed"};

std::string formatValue(const json_t *value)
{
    if (json_is_string(value))
        return escapeControls(json_string_value(value));
    if (!json_is_real(value))
        return json_is_integer(value) ? std::to_string(json_integer_value(value))
                                      : std::string(json_is_true(value) ? "true" : "false");
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.1f", json_real_value(value));
    return text.data();
}

std::string formatFields(const json_t *object)
{
    std::string text;
    const char *key = nullptr;
    json_t *value = nullptr;
    // json_object_foreach() requires a mutable object but does not modify it.
    json_object_foreach(const_cast<json_t *>(object), key, value)
    {
        if (std::find(omittedKeys.begin(), omittedKeys.end(), key) != omittedKeys.end())
            continue;
        const std::string shown = formatValue(value);
        const bool hasSpace = shown.empty() || shown.find(' ') != std::string::npos;
        text += std::string(text.empty() ? "" : " ") + escapeControls(key) + "=";
        text += hasSpace ? "\"" + shown + "\"" : shown;
    }
    return text;
}

bool isNodeEvent(std::string_view event)
{
    return std::any_of(nodeEventPrefixes.begin(), nodeEventPrefixes.end(),
                       [event](std::string_view prefix) {
                           return event.starts_with(prefix);
                       });
}

} // namespace

bool RequestTimeline::addLog(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return false;
    std::int64_t clockOffset = 0;
    for (std::string text; std::getline(file, text);) {
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        const JsonPtr object = parseJson(std::string_view(text).substr(begin));
        if (!object)
            continue;
        // The offset applies to this line and to the lines after it.
        if (jsonString(object.get(), "event") == "clock.offset")
            clockOffset = jsonInteger(object.get(), "offset_ms");
        addLine(object.get(), clockOffset);
    }
    return true;
}

void RequestTimeline::addLine(const json_t *object, std::int64_t clockOffset)
{
    Line line {.trueMillis = jsonInteger(object, "time_unix_ms") + clockOffset,
               .node = escapeControls(jsonString(object, "node")),
               .event = escapeControls(jsonString(object, "event"))};
    const std::string engine = escapeControls(jsonString(object, "engine"));
    line.isRequestLine = jsonString(object, "request") == m_request;
    if (!line.isRequestLine) {
        const bool isContext = json_object_get(object, "request")
                ? !engine.empty() && line.event.starts_with("engine.")
                : !engine.empty() || isNodeEvent(line.event);
        if (!isContext)
            return;
        line.fields = formatFields(object);
        m_contextLines.emplace_back(std::move(line), engine);
        return;
    }
    line.fields = formatFields(object);
    m_nodes.insert(line.node);
    if (!engine.empty())
        m_engines.insert(engine);
    if (line.event == "request.finished") {
        m_status = static_cast<int>(jsonInteger(object, "status"));
        m_outcome = escapeControls(jsonString(object, "outcome"));
    }
    m_requestLines.push_back(std::move(line));
}

std::vector<RequestTimeline::Line> RequestTimeline::collectLines() const
{
    const auto isEarlier = [](const Line &a, const Line &b) {
        return a.trueMillis < b.trueMillis;
    };
    const auto [first, last] = std::minmax_element(m_requestLines.begin(), m_requestLines.end(),
                                                   isEarlier);
    std::vector<Line> lines = m_requestLines;
    for (const auto &[line, engine] : m_contextLines) {
        const bool isNearRequest = line.trueMillis >= first->trueMillis - contextMillisBefore
                && line.trueMillis <= last->trueMillis + contextMillisAfter;
        const bool isRelevant = engine.empty() ? m_nodes.contains(line.node)
                                               : m_engines.contains(engine);
        if (isNearRequest && isRelevant)
            lines.push_back(line);
    }
    std::stable_sort(lines.begin(), lines.end(), isEarlier);
    return lines;
}

std::string RequestTimeline::format() const
{
    if (m_requestLines.empty())
        return {};
    const std::vector<Line> lines = collectLines();
    const std::int64_t start = m_requestLines.front().trueMillis;
    std::string text;
    for (const Line &line : lines) {
        std::array<char, 96> head {};
        std::snprintf(head.data(), head.size(), "%c %+8lld ms  %-20s %-24s ",
                      line.isRequestLine ? '*' : ' ',
                      static_cast<long long>(line.trueMillis - start), line.node.c_str(),
                      line.event.c_str());
        text += head.data() + line.fields + "\n";
    }
    return text + formatOutcome();
}

std::string RequestTimeline::formatOutcome() const
{
    std::string engines;
    for (const std::string &engine : m_engines)
        engines += (engines.empty() ? "" : ", ") + engine;
    std::string text = "request " + m_request + ": ";
    if (m_status < 0)
        return text + "not finished in these logs\n";
    text += m_status == 0 ? "no final answer" : "status " + std::to_string(m_status);
    return text + ", " + m_outcome + (engines.empty() ? "" : "; engines: " + engines) + "\n";
}

} // namespace sesame
