#include "support/fleetfiles.h"

#include <fstream>
#include <iterator>

std::string makeFleetFile(std::uint32_t capacityLimit, std::string_view note,
                          std::string_view exceptions)
{
    std::string text = R"([fleet]
name = "test"
zones = ["north", "south"]
[defaults]
entry_ttl_seconds = 10
capacity_limit = )";
    text += std::to_string(capacityLimit) + " # " + std::string(note) + R"(
[ranks.urgent]
first_token_ms = 1200
[ranks.standard]
floor_share = 0.1
[ranks.batch]
floor_share = 0.05
[[backend_class]]
name = "engine"
kind = "model_engine"
fencing = "checked"
[[backend_class]]
name = "orders"
kind = "service"
fencing = "ignored"
service = "orders"
[[account]]
name = "hotel"
key_sha256 = "034ce0f7b30ac29d5cedbe549923e1ab1a4ccb688cf84efff9079c18031eb3c6"
ranks = ["urgent"]
[[model]]
name = "check"
rank = "standard"
backend_classes = ["engine"]
[[route]]
prefix = "/orders"
service = "orders"
rank = "urgent"
idempotent = false
status_lookup = "/status/{key}"
)";
    return text + std::string(exceptions);
}

std::string readRepositoryFile(std::string_view path)
{
    std::ifstream in(std::string(PROJECT_DIRECTORY "/") + std::string(path), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}
