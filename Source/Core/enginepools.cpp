#include "Core/enginepools.h"

#include <algorithm>
#include <set>

namespace sesame {

namespace {

struct Group
{
    std::set<std::string> backendClasses;
    std::vector<std::string> models;
};

bool sharesClass(const Group &group, const Model &model)
{
    return std::any_of(model.backendClasses.begin(), model.backendClasses.end(),
                       [&group](const std::string &name) {
                           return group.backendClasses.contains(name);
                       });
}

} // namespace

std::vector<EnginePool> groupEnginePools(const FleetConfig &config)
{
    std::vector<Group> groups;
    for (const Model &model : config.models) {
        Group merged {.backendClasses = {model.backendClasses.begin(), model.backendClasses.end()},
                      .models = {model.name}};
        for (Group &group : groups) {
            if (!sharesClass(group, model))
                continue;
            merged.backendClasses.merge(group.backendClasses);
            merged.models.insert(merged.models.end(), group.models.begin(), group.models.end());
            group.models.clear();
        }
        std::erase_if(groups, [](const Group &group) {
            return group.models.empty();
        });
        groups.push_back(std::move(merged));
    }
    std::vector<EnginePool> pools;
    for (Group &group : groups) {
        std::sort(group.models.begin(), group.models.end());
        pools.push_back({.name = group.models.front(), .models = std::move(group.models)});
    }
    return pools;
}

std::string findEnginePool(const std::vector<EnginePool> &pools, const std::string &model)
{
    for (const EnginePool &pool : pools) {
        if (std::find(pool.models.begin(), pool.models.end(), model) != pool.models.end())
            return pool.name;
    }
    return {};
}

} // namespace sesame
