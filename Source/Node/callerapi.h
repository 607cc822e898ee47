#pragma once

#include "Adapter/httpmessage.h"
#include "Node/modelservice.h"
#include "Node/nodecontext.h"
#include "Node/routeservice.h"

namespace sesame {

/*!
    HTTP interface for callers. Authenticates the account of a request and dispatches the request
    to the model service or the route service.
*/
class CallerApi
{
public:
    CallerApi(NodeContext &context, ModelService &models, RouteService &routes)
        : m_context(context), m_models(models), m_routes(routes)
    {
    }

    /*!
        Returns the response to \a request; refusals are responses with an error status.
    */
    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse listEntries();
    HttpResponse handleForAccount(const HttpRequest &request, const FleetConfig &config,
                                  const Account &account);
    std::optional<FailureReason> findRefusalReason();

    NodeContext &m_context;
    ModelService &m_models;
    RouteService &m_routes;
};

} // namespace sesame
