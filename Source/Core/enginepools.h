#pragma once

#include "Core/fleetconfig.h"

#include <string>
#include <vector>

namespace sesame {

/*!
    Models that share engines, directly or through other models. Ranks are compared only within a
    pool, so models that compete for engines must be in the same pool.
*/
struct EnginePool
{
    std::string name;
    std::vector<std::string> models;
};

/*!
    Returns the pools of the models in \a config. Each model belongs to exactly one pool.
*/
std::vector<EnginePool> groupEnginePools(const FleetConfig &config);

/*!
    Returns the name of the pool in \a pools that contains \a model, or an empty string.
*/
std::string findEnginePool(const std::vector<EnginePool> &pools, const std::string &model);

} // namespace sesame
