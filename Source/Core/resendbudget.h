#pragma once

#include "Core/ports.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace sesame {

struct ResendBudgetOptions
{
    double ratio = 0.2; //!< Resends of all nodes per request in the window.
    double slack = 0.0; //!< Additional resends of all nodes in the window, beyond the ratio.
    Duration window {std::chrono::seconds(10)};
    //! Share of the ratio and the slack that is used. The rest covers differences in clocks and
    //! window boundaries between this node and an observer of all nodes.
    double usableShare = 0.8;
};

/*!
    Limits within a sliding window how often requests of a service are sent to another engine.

    Each node applies the ratio to its own requests and uses an equal part of the slack, so that
    the sum over all nodes stays within the limit without communication between them.
*/
class ResendBudget
{
public:
    explicit ResendBudget(ResendBudgetOptions options) : m_options(options) { }

    void recordRequest(const std::string &service, Timestamp now);

    /*!
        Records one resend for \a service and returns true, or returns false if the window allows
        no more. \a nodes is the number of nodes that share the slack.
    */
    bool tryResend(const std::string &service, std::size_t nodes, Timestamp now);

private:
    struct Window
    {
        std::deque<Timestamp> requests;
        std::deque<Timestamp> resends;
    };

    void dropExpired(Window &window, Timestamp now) const;

    ResendBudgetOptions m_options;
    std::unordered_map<std::string, Window> m_windows;
};

} // namespace sesame
