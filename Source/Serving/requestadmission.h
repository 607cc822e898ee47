#pragma once

#include "Serving/servingstate.h"

#include <optional>
#include <string_view>

namespace sesame {

/*!
    A response that the node generates itself instead of forwarding one from an engine.
*/
struct LocalResponse
{
    unsigned status = 0;
    std::string_view reason; //!< Must refer to a string literal.
    std::optional<Milliseconds> retryAfter {};
};

/*!
    The configuration and the quota cost that apply to a request.
*/
struct AdmittedRequest
{
    const ServingRoute *route = nullptr;
    const ClientAccount *account = nullptr; //!< Null if the route requires no account key.
    std::uint64_t fingerprint = 0; //!< Hash of path, account and body.
    Milliseconds timeLimit {0}; //!< The caller's deadline or the route's timeout, if shorter.
    double quotaCost = 0.0; //!< Amount charged to the account's quota.
};

/*!
    Decides whether a request may be sent to an engine. Checks that it has a route and a known
    account, that it has not crashed engines, that a stopping node can complete it, and that the
    account has quota left, in this order.
*/
class RequestAdmission
{
public:
    RequestAdmission(ServingState &state, const ServingConfig *config)
        : m_state(state), m_config(config)
    {
    }

    /*!
        Checks the request with attributes \a info and \a body. Fills \a admitted and returns true
        if the request is admitted. Otherwise, sets refusal() and returns false; \a admitted then
        contains what was determined before the refusal.
    */
    bool admit(const RequestInfo &info, std::string_view body, AdmittedRequest &admitted);

    //! Returns the response to the caller if admit() returned false.
    const LocalResponse &refusal() const { return m_refusal; }

private:
    static Milliseconds timeLimit(const RequestInfo &info, const ServingRoute &route);
    bool refuse(const LocalResponse &response);
    bool chargeQuota(const RequestInfo &info, AdmittedRequest &admitted);

    ServingState &m_state;
    const ServingConfig *m_config; //!< Null until a configuration has been received.
    LocalResponse m_refusal;
};

} // namespace sesame
