#pragma once

#include "Http/listener.h"

#include <map>
#include <string>
#include <vector>

namespace sesame {

/*!
    The platform's calls for duties. Collects what breaks their rules: two different reports for
    one window, and fencing tokens that go back or are used by two holders.
*/
class EmulatedDuties
{
public:
    EmulatedDuties(asio::io_context &context, const Tcp::endpoint &address);

    /*!
        Returns the requests of \a account over all windows.
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
