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
    Serves calls to plain services on the routes of the fleet file. Idempotent calls are
    retried; the others are sent at most once for each idempotency key.
*/
class RouteService
{
public:
    explicit RouteService(NodeContext &context) : m_context(context) { }

    HttpResponse call(const HttpRequest &request, const Account &account, const Route &route);

private:
    //! A call on a non-idempotent route, as it is sent to a backend server.
    struct KeyedCall
    {
        const Route &route;
        HttpCall call;
        std::string backendKey;
    };
    struct SendResult
    {
        BackendReply reply;
        bool deadlinePassed = false; //!< The claim's deadline passed before a byte was sent.
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
