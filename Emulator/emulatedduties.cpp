#include "emulatedduties.h"

#include "Adapter/json.h"

#include <cstdlib>
#include <stdexcept>

namespace sesame {

EmulatedDuties::EmulatedDuties(asio::io_context &context, const Tcp::endpoint &address)
    : m_listener(
            context,
            [this](const std::shared_ptr<ServerConnection> &connection, RequestMessage &&request) {
                serve(connection, request);
            },
            64)
{
    if (const auto ec = m_listener.open(address))
        throw std::runtime_error("duties address: " + ec.message());
}

std::int64_t EmulatedDuties::requestCount(const std::string &account) const
{
    const auto found = m_requestCounts.find(account);
    return found == m_requestCounts.end() ? 0 : found->second;
}

void EmulatedDuties::serve(const std::shared_ptr<ServerConnection> &connection,
                           const RequestMessage &request)
{
    const std::string holder(fieldValue(request, "Sesameproxy-Duty-Holder"));
    const std::string tokenText(fieldValue(request, "Sesameproxy-Fencing-Token"));
    const std::int64_t token = std::atoll(tokenText.c_str());
    if (holder.empty() || token <= 0)
        m_violations.push_back("a call without a holder or token");
    if (token < m_highestToken)
        m_violations.push_back("token " + tokenText + " after " + std::to_string(m_highestToken));
    m_highestToken = std::max(m_highestToken, token);
    const auto [owner, isNew] = m_holderByToken.try_emplace(token, holder);
    if (!isNew && owner->second != holder)
        m_violations.push_back("two holders of token " + tokenText);
    const JsonPtr body = parseJson(request.body());
    if (toStd(request.target()) == "/scale") {
        ++m_orderCount;
        connection->sendResponse(200, {}, "{}");
        return;
    }
    const std::int64_t window = jsonInteger(body.get(), "windowId");
    json_t *counts = json_object_get(body.get(), "counts");
    const std::string text = dumpJson(counts);
    const auto [report, added] = m_reports.try_emplace(window, text);
    if (!added && report->second != text)
        m_violations.push_back("two reports for window " + std::to_string(window));
    if (added) {
        const char *account = nullptr;
        json_t *value = nullptr;
        json_object_foreach(counts, account, value) m_requestCounts[account] += json_integer_value(
                value);
    }
    connection->sendResponse(200, {}, "{}");
}

} // namespace sesame
