#pragma once

#include "Adapter/json.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sesame {

/*!
    Timeline of one request, collected from the logs of several nodes. It contains the lines of the
    request and, close to them in time, the lines on its engines, the configuration, the object
    store and the clocks of its nodes.

    Lines are ordered by the nodes' common estimate of true time. The timestamps of a node whose
    clock deviates are corrected by the clock offset that the node has logged.
*/
class RequestTimeline
{
public:
    //! Creates an empty timeline of the request with ID \a request.
    explicit RequestTimeline(std::string request) : m_request(std::move(request)) { }

    /*!
        Reads the log file \a path. Returns false if it cannot be read. Skips the text before the
        first brace of a line because log collectors add prefixes.
    */
    bool addLog(const std::string &path);

    /*!
        Returns whether none of the logs contains a line of the request.
    */
    bool isEmpty() const { return m_requestLines.empty(); }

    /*!
        Returns the timeline as text, with one line for each event and the outcome in the last line.
    */
    std::string format() const;

private:
    struct Line
    {
        std::int64_t trueMillis = 0; //!< True time in Unix milliseconds as estimated by the node.
        std::string node;
        std::string event;
        std::string fields;
        bool isRequestLine = false; //!< The line belongs to the request itself.
    };

    void addLine(const json_t *object, std::int64_t clockOffset);
    std::vector<Line> collectLines() const;
    std::string formatOutcome() const;

    std::string m_request;
    std::vector<Line> m_requestLines;
    std::vector<std::pair<Line, std::string>>
            m_contextLines; //!< Lines with the engine that each names; may be empty.
    std::set<std::string> m_engines; //!< Engines that received the request.
    std::set<std::string> m_nodes; //!< Nodes that processed the request.
    int m_status = -1; //!< HTTP status of the final response; 0 if it is incomplete, -1 if unknown.
    std::string m_outcome;
};

} // namespace sesame
