#pragma once

#include "Serving/servingstate.h"

#include <optional>
#include <string_view>

namespace sesame {

/*!
    An answer that the node gives itself.
*/
struct OwnAnswer
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
    bool admit(const RequestFacts &facts, std::string_view body, AdmittedRequest &admitted);

    const OwnAnswer &refusal() const { return m_refusal; }

private:
    bool refuse(const OwnAnswer &answer);
    bool takeQuota(const RequestFacts &facts, AdmittedRequest &admitted);

    ServingState &m_state;
    const ServingConfig *m_config; //!< Null while none is known.
    OwnAnswer m_refusal;
};

} // namespace sesame
