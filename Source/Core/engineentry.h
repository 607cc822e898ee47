#pragma once

#include <cstdint>
#include <string>

namespace sesame {

/*!
    Entry that an engine publishes about itself in the store.
*/
struct EngineEntry
{
    std::string id;
    std::string service;
    std::string address; //!< IP:PORT
    std::string zone;
    std::string version; //!< Version of the engine's software; empty if it states none.
    int slots = 1; //!< Requests that the engine processes at the same time.
    bool draining = false;
    bool spot = false; //!< Can be reclaimed together with the other spot engines of its zone.
    std::int64_t incarnation = 0; //!< Start time in Unix milliseconds; 0 if unknown.
    std::int64_t warmupMs = 0; //!< Remaining time in which the engine is slower after its start.
};

} // namespace sesame
