#pragma once

#include "Adapter/json.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sesame {

/*!
    The log lines of several nodes that tell what became of one request: its own lines, and near
    them in time what the nodes learned of its engines, the configuration, the store and clocks.

    Lines are put in order by the nodes' common estimate of true time. A line of a node whose clock
    differs is moved by the difference that the node itself has logged.
*/
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string request) : m_request(std::move(request)) { }

    /*!
        Reads the log file \a path. Returns false if it cannot be read. Bytes before the first
        brace of a line are skipped, as collectors of logs put a prefix there.
    */
    bool addLog(const std::string &path);

    /*!
        Returns whether no log has a line of the request.
    */
    bool isEmpty() const { return m_requestLines.empty(); }

    /*!
        Returns the story, one line for each event, and the outcome as the last line.
    */
    std::string format() const;

private:
    struct Line
    {
        std::int64_t trueMillis = 0; //!< True time as far as the node knew it.
        std::string node;
        std::string event;
        std::string fields;
        bool isRequestLine = false;
    };

    void addLine(const json_t *object, std::int64_t clockOffset);
    std::vector<Line> collectLines() const;
    std::string formatOutcome() const;

    std::string m_request;
    std::vector<Line> m_requestLines;
    std::vector<std::pair<Line, std::string>> m_contextLines; //!< With the engine that it names.
    std::set<std::string> m_engines; //!< That had the request.
    std::set<std::string> m_nodes; //!< That had the request.
    int m_status = -1; //!< Of its last answer; 0 for a broken stream.
    std::string m_outcome;
};

} // namespace sesame
