#pragma once

#include "Core/admissioncontroller.h"
#include "Core/backendtable.h"
#include "Core/enginepools.h"
#include "Core/enginerouter.h"
#include "Node/nodecontext.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Chooses the engine of the next attempt from the shared tables.
*/
class EngineSelector
{
public:
    explicit EngineSelector(NodeContext &context) : m_context(context) { }

    /*!
        Chooses an engine outside of \a excluded for \a stream and begins the call in the backend
        table. Returns std::nullopt if none is usable now, or if a suspect has to wait.
    */
    std::optional<BackendView> choose(ModelStream &stream, const std::set<std::string> &excluded);

    /*!
        Returns the engines that serve at least one model of \a pool.
    */
    std::vector<BackendView> listPoolEngines(const FleetConfig &config, const EnginePool &pool);

    PoolCapacity measureCapacity(const std::vector<BackendView> &engines);

private:
    void excludeTakenEngines(const ModelStream &stream, const std::vector<BackendView> &engines,
                             std::vector<std::string> &excluded);
    bool canRunOn(const ModelStream &stream, const BackendView &engine);
    std::vector<EngineView> makeEngineViews(const std::vector<BackendView> &engines);

    NodeContext &m_context;
};

/*!
    Returns the text that names this incarnation of \a engine on all nodes.
*/
std::string formatIncarnation(const BackendView &engine);

/*!
    Returns the model \a name of \a config, or a null pointer.
*/
const Model *findModel(const FleetConfig &config, std::string_view name);

} // namespace sesame
