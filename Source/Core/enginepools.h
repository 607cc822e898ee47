#pragma once

#include "Core/fleetconfig.h"

#include <string>
#include <vector>

namespace sesame {

/*!
    Models that share engines, directly or through other models. Ranks are weighed against each
    other within a pool, so models that compete for engines must be in the same one.
*/
struct EnginePool
{
    std::string name;
    std::vector<std::string> models;
};

/*!
    Returns the pools of \a config. Each model is in exactly one.
*/
std::vector<EnginePool> groupEnginePools(const FleetConfig &config);

/*!
    Returns the name of the pool in \a pools that contains \a model, or an empty text.
*/
std::string findEnginePool(const std::vector<EnginePool> &pools, const std::string &model);

} // namespace sesame
