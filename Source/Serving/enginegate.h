#pragma once

#include "Serving/servingstate.h"

#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Head of an engine's answer to a request.
*/
struct EngineAnswer
{
    std::string request; //!< Attempt of the caller.
    std::string engine;
    unsigned status = 0;
    const ResponseInfo &info;
};

/*!
    Determines which engines may receive requests, after what they have said of themselves. All ways
    on which a request reaches an engine ask it.
*/
class EngineGate
{
public:
    explicit EngineGate(ServingState &state) : m_state(state) { }

    /*!
        Returns the engines of \a service that may receive another request of this node, which was
        chosen for the target of the service's roll-out or not, as \a prefersTarget says.
    */
    std::vector<EngineState *> openEngines(const std::string &service,
                                           bool prefersTarget = false) const;

    /*!
        Returns whether a request that was assigned to \a engine may still be sent to it.
    */
    bool maySend(const EngineState &engine) const;

    /*!
        Returns whether the versions of the engines are known as they were after the last suspension
        of this process. An engine may have started again under its id with another version since
        the entry that this node has.
    */
    bool knowsVersionsSinceSuspension() const;

    /*!
        Returns whether, besides, they are known as they were a short time ago, so that a stream of
        another request can be continued.
    */
    bool knowsVersions() const;

    /*!
        Returns the time until the first engine of \a service may receive requests again, or
        std::nullopt if all are leaving or none is known.
    */
    std::optional<Milliseconds> timeUntilReturn(const std::string &service) const;

    /*!
        Returns which engines of \a service are left out and why, for the log; empty if there are
        none.
    */
    std::string describeWithheld(const std::string &service) const;

    /*!
        Takes over what an engine says of itself in \a answer.
    */
    void recordAnswer(const EngineAnswer &answer);

private:
    void recordPause(const EngineAnswer &answer, const EngineBoot &boot);

    ServingState &m_state;
};

} // namespace sesame
