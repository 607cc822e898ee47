#pragma once

#include <cstdint>
#include <string>

namespace sesame {

/*!
    What an engine says of itself in the store.
*/
struct EngineEntry
{
    std::string id;
    std::string service;
    std::string address; //!< IP:PORT
    std::string zone;
    int slots = 1; //!< Requests processed at the same time.
    bool draining = false;
    bool spot = false; //!< May be reclaimed with the other spot engines of its zone.
    std::int64_t incarnation = 0; //!< Unix milliseconds of its start; 0 if not stated.
    std::int64_t warmupMs = 0; //!< How much longer the engine stays slow after its start.
};

} // namespace sesame
