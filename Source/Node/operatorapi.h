#pragma once

#include "Adapter/httpmessage.h"
#include "Node/nodecontext.h"

#include <functional>

namespace sesame {

/*!
    The interface towards operators: status, drain, service levels and metrics.
*/
class OperatorApi
{
public:
    /*!
        \a onDrain is called when an operator asks the node to stop.
    */
    OperatorApi(NodeContext &context, std::function<void()> onDrain)
        : m_context(context), m_onDrain(std::move(onDrain))
    {
    }

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse reportStatus();
    HttpResponse reportBurn();

    NodeContext &m_context;
    std::function<void()> m_onDrain;
};

} // namespace sesame
