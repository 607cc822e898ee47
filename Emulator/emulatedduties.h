#pragma once

#include "Http/listener.h"

#include <map>
#include <string>
#include <vector>

namespace sesame {

/*!
    Emulates the platform's endpoint for calls of the duties. Collects violations of the rules: two
    different reports for one window, and fencing tokens that decrease or have two holders.
*/
class EmulatedDuties
{
public:
    EmulatedDuties(asio::io_context &context, const Tcp::endpoint &address);

    /*!
        Returns the number of reported requests of \a account in all windows.
    */
    std::int64_t requestCount(const std::string &account) const;
    std::size_t windowCount() const { return m_reports.size(); }
    std::size_t orderCount() const { return m_orderCount; }
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    void serve(const std::shared_ptr<ServerConnection> &connection, const RequestMessage &request);

    Listener m_listener;
    std::map<std::int64_t, std::string> m_reports;
    std::map<std::string, std::int64_t> m_requestCounts;
    std::map<std::int64_t, std::string> m_holderByToken;
    std::int64_t m_highestToken = 0;
    std::size_t m_orderCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace sesame
