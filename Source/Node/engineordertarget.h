#pragma once

#include "Core/orderissuer.h"
#include "Node/nodecontext.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

constexpr std::string_view modelLoaded = "loaded";
constexpr std::string_view modelMissing = "missing";

/*!
    Orders to model engines. A target is an engine with a model, see makeTarget(); its state is
    "loaded" or "missing".
*/
class EngineOrderTarget
{
public:
    static constexpr std::chrono::milliseconds sendTimeout {1000};

    explicit EngineOrderTarget(NodeContext &context) : m_context(context) { }

    /*!
        Sends the order to load the model with the fencing number.
    */
    OrderStatus send(const Order &order);

    /*!
        Asks the engine itself, because the load reports of the backend table lag. An engine that
        does not say which models it has loaded counts as having all of them.
    */
    std::optional<std::string> observe(std::string_view target);

    static std::string makeTarget(std::string_view engine, std::string_view model);
    static std::string_view parseEngine(std::string_view target);

private:
    std::optional<std::string> findAddress(std::string_view target);

    NodeContext &m_context;
};

static_assert(OrderTarget<EngineOrderTarget>);

} // namespace sesame
