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
    Selects the engine for the next attempt of a request.
*/
class EngineSelector
{
public:
    explicit EngineSelector(NodeContext &context) : m_context(context) { }

    /*!
        Selects an engine for \a stream that is not in \a excluded, and begins the call in the
        backend table. Returns std::nullopt if no engine is usable, or if the request is a suspect
        that has to wait.
    */
    std::optional<BackendView> choose(ModelStream &stream, const std::set<std::string> &excluded);

    /*!
        Returns the engines that serve at least one model of \a pool.
    */
    std::vector<BackendView> listPoolEngines(const FleetConfig &config, const EnginePool &pool);

    /*!
        Returns the total and the free slots of \a engines and the number of live nodes.
    */
    PoolCapacity measureCapacity(const std::vector<BackendView> &engines);

private:
    std::optional<std::size_t> findAnnouncedEngine(const ModelStream &stream,
                                                   const std::vector<BackendView> &engines,
                                                   const std::set<std::string> &excluded);
    std::optional<std::size_t> routeToEngine(ModelStream &stream,
                                             const std::vector<BackendView> &engines,
                                             const std::set<std::string> &excluded);
    void excludeTakenEngines(const ModelStream &stream, const std::vector<BackendView> &engines,
                             std::vector<std::string> &excluded);
    bool canRunOn(const ModelStream &stream, const BackendView &engine);
    std::vector<EngineView> makeEngineViews(const std::vector<BackendView> &engines);

    NodeContext &m_context;
};

/*!
    Returns the identifier of this incarnation of \a engine; it is the same on all nodes.
*/
std::string formatIncarnation(const BackendView &engine);

/*!
    Returns the model with \a name in \a config, or a null pointer if there is none.
*/
const Model *findModel(const FleetConfig &config, std::string_view name);

} // namespace sesame
