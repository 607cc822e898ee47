#pragma once

#include "Adapter/httpmessage.h"
#include "Node/modelservice.h"
#include "Node/nodecontext.h"
#include "Node/routeservice.h"

namespace sesame {

/*!
    The interface towards callers: finds the account and passes the request to its service.
*/
class CallerApi
{
public:
    CallerApi(NodeContext &context, ModelService &models, RouteService &routes)
        : m_context(context), m_models(models), m_routes(routes)
    {
    }

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse listEntries();
    HttpResponse handleForAccount(const HttpRequest &request, const FleetConfig &config,
                                  const Account &account);
    std::optional<Reason> findRefusalReason();

    NodeContext &m_context;
    ModelService &m_models;
    RouteService &m_routes;
};

} // namespace sesame
