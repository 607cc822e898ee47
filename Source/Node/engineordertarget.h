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
    Delivers orders to model engines. A target is an engine and a model, see makeTarget(); its
    state is "loaded" or "missing".
*/
class EngineOrderTarget
{
public:
    static constexpr std::chrono::milliseconds sendTimeout {1000};

    explicit EngineOrderTarget(NodeContext &context) : m_context(context) { }

    /*!
        Sends \a order, which must be to load a model, with its fencing number to the engine.
    */
    OrderStatus send(const Order &order);

    /*!
        Returns the state of \a target, or std::nullopt if it is unknown. Queries the engine,
        because the load reports in the backend table lag behind. An engine that does not report
        its loaded models is taken to have loaded all of them.
    */
    std::optional<std::string> observe(std::string_view target);

    /*!
        Returns the target name of \a model on \a engine.
    */
    static std::string makeTarget(std::string_view engine, std::string_view model);

    /*!
        Returns the engine id in the name \a target.
    */
    static std::string_view parseEngine(std::string_view target);

private:
    std::optional<std::string> findAddress(std::string_view target);

    NodeContext &m_context;
};

static_assert(OrderTarget<EngineOrderTarget>);

} // namespace sesame
