#pragma once

#include "Adapter/httpmessage.h"
#include "Node/nodecontext.h"

#include <functional>

namespace sesame {

/*!
    The interface towards operators: status and drain.
*/
class OperatorApi
{
public:
    /*!
        \a drain is called when an operator asks the node to stop.
    */
    OperatorApi(NodeContext &context, std::function<void()> drain)
        : m_context(context), m_drain(std::move(drain))
    {
    }

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse reportStatus();

    NodeContext &m_context;
    std::function<void()> m_drain;
};

} // namespace sesame
