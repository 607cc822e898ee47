#pragma once

#include "Serving/servingstate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    A request that lost its connection to an engine.
*/
struct LostRequest
{
    std::string id; //!< Attempt of the caller.
    std::string engine;
    std::string service;
    std::uint64_t fingerprint = 0; //!< Hash of path, account and body.
    //! Ids of the parts of its prompt that other requests may contain.
    std::vector<std::int64_t> sharedParts {};
    std::size_t events = 0; //!< Events of the stream that the caller had received.
    std::int64_t sentMillis = 0; //!< Common time at which the request was sent to the engine.
};

/*!
    Determines whether an engine crashed after it lost the connection of a request, and records the
    crash for the request and for the parts of its prompt.
*/
class EngineCrashCheck
{
public:
    explicit EngineCrashCheck(ServingState &state) : m_state(state) { }

    /*!
        Opens a new connection to the engine of \a lost. If that fails, the request is recorded as
        one that the engine was running when it crashed.
    */
    void start(const LostRequest &lost);

private:
    static void recordCrash(ServingState &state, const LostRequest &lost,
                            const wire::PromptCrash &crash, const boost::system::error_code &ec);

    ServingState &m_state;
};

} // namespace sesame
