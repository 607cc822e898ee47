#pragma once

#include "Core/ports.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace sesame {

struct ResendBudgetOptions
{
    double ratio = 0.2; //!< Resends of all nodes for each request of the window.
    double slack = 0.0; //!< Resends of all nodes beyond the ratio.
    Duration window {std::chrono::seconds(10)};
    //! Part of ratio and slack that is spent. The rest covers clocks and windows that differ
    //! between this node and an observer of all nodes.
    double usableShare = 0.8;
};

/*!
    Limits how often requests are sent to a second engine of a service, within a sliding window.

    Each node uses the ratio of its own requests and an equal part of the slack, so the sum over
    all nodes keeps the limit without any exchange.
*/
class ResendBudget
{
public:
    explicit ResendBudget(ResendBudgetOptions options) : m_options(options) { }

    void recordRequest(const std::string &service, Timestamp now);

    /*!
        Takes one resend for \a service. Returns false if the window allows no more.
        \a nodes is the number of nodes that share the slack.
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
