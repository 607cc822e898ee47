#pragma once

#include "Adapter/httpmessage.h"
#include "Node/nodecontext.h"

#include <functional>

namespace sesame {

/*!
    HTTP interface for operators: status, drain, burn rates and metrics.
*/
class OperatorApi
{
public:
    /*!
        Creates an interface that calls \a onDrain when an operator drains the node.
    */
    OperatorApi(NodeContext &context, std::function<void()> onDrain)
        : m_context(context), m_onDrain(std::move(onDrain))
    {
    }

    /*!
        Returns the response to \a request.
    */
    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse reportStatus();
    HttpResponse reportBurn();

    NodeContext &m_context;
    std::function<void()> m_onDrain;
};

} // namespace sesame
