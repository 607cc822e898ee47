#pragma once

#include "Serving/servingstate.h"

#include <optional>
#include <string_view>

namespace sesame {

/*!
    An answer that the node gives itself.
*/
struct LocalResponse
{
    unsigned status = 0;
    std::string_view reason; //!< Refers to text that is part of the program.
    std::optional<Milliseconds> retryAfter {};
};

/*!
    A request that may be sent to an engine.
*/
struct AdmittedRequest
{
    const ServingRoute *route = nullptr;
    const ClientAccount *account = nullptr; //!< Null where no key is needed.
    std::uint64_t fingerprint = 0; //!< Of path, account and body.
    double quotaCost = 0.0; //!< Taken from the account's quota.
};

/*!
    Decides whether a request may be sent: route, account, crashing requests and quota, in this
    order.
*/
class RequestAdmission
{
public:
    RequestAdmission(ServingState &state, const ServingConfig *config)
        : m_state(state), m_config(config)
    {
    }

    /*!
        Fills \a admitted and returns true, or sets refusal() and returns false. What was found
        before the refusal stays in \a admitted.
    */
    bool admit(const RequestInfo &info, std::string_view body, AdmittedRequest &admitted);

    const LocalResponse &refusal() const { return m_refusal; }

private:
    bool refuse(const LocalResponse &response);
    bool chargeQuota(const RequestInfo &info, AdmittedRequest &admitted);

    ServingState &m_state;
    const ServingConfig *m_config; //!< Null while none is known.
    LocalResponse m_refusal;
};

} // namespace sesame
