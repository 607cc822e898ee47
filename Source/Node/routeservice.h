#pragma once

#include "Adapter/backendclient.h"
#include "Adapter/httpmessage.h"
#include "Core/claimledger.h"
#include "Node/nodecontext.h"
#include "Node/requestresult.h"

#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Serves calls to plain services on the routes of the fleet file. Calls on idempotent routes are
    retried; calls on other routes are sent at most once per idempotency key.
*/
class RouteService
{
public:
    explicit RouteService(NodeContext &context) : m_context(context) { }

    /*!
        Serves the call \a request of \a account on \a route. Blocks until the response is complete.
    */
    HttpResponse call(const HttpRequest &request, const Account &account, const Route &route);

private:
    //! A call on a non-idempotent route with the idempotency key that backend servers receive.
    struct KeyedCall
    {
        const Route &route;
        HttpCall call;
        std::string backendKey;
    };

    //! Result of an attempt to send a claimed call.
    struct SendResult
    {
        BackendReply reply;
        bool deadlinePassed = false; //!< The deadline of the claim passed before a byte was sent.
    };

    void recordServiceLevel(const Route &route, const HttpResponse &response, Duration time);
    HttpResponse callIdempotent(const HttpRequest &request, const Route &route);
    HttpResponse callAtMostOnce(const HttpRequest &request, const Account &account,
                                const Route &route);
    HttpResponse sendClaimedCall(const KeyedCall &keyed, const Claim &claim);
    SendResult sendBeforeDeadline(const KeyedCall &keyed, const Claim &claim);
    HttpResponse answerFromClaim(const KeyedCall &keyed, const std::string &key,
                                 const ClaimResult &result);
    std::optional<RecordedAnswer> resolveByStatusLookup(const KeyedCall &keyed,
                                                        const std::string &key);
    std::optional<BackendView> chooseServer(const Route &route,
                                            const std::vector<std::string> &excluded);
    BackendReply send(const HttpCall &call, const BackendView &server);

    NodeContext &m_context;
};

} // namespace sesame
