#pragma once

#include "Core/Rollout/rolloutbook.h"
#include "Core/Rollout/rolloutdecision.h"
#include "Core/Rollout/rolloutexposure.h"
#include "Core/enginedirectory.h"
#include "Core/objectreplica.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace sesame {

/*!
    Outcome of a request that was sent to an engine, as evidence for its version.
*/
enum class SendEvidence {
    Answered,
    Failed,
    Unfinished //!< Nothing can be said, for example because the engine had no room.
};

/*!
    What a node knows of the roll-outs of all services: orders, steps in force, versions in use and
    its own evidence. All members stay empty if the deployment has no roll-outs.
*/
class RolloutRecord
{
public:
    RolloutRecord();

    /*!
        Takes over \a step from \a source, the name of a node or of another place, and logs it.
    */
    void adoptStep(const wire::RolloutStep &step, std::string_view source);

    /*!
        Chooses the next request of \a service for the target of its roll-out or for the other
        versions.
    */
    bool choosesTarget(const std::string &service);

    /*!
        Records that the store lists the engine of \a entry at \a revision, an ordinal.
    */
    void noteEngine(const EngineEntry &entry, std::int64_t revision);

    /*!
        Removes the engines whose version may not get a request of \a service. \a prefersTarget is
        the choice for the request.
    */
    void removeWithheld(std::vector<EngineState *> &engines, const std::string &service,
                        bool prefersTarget);

    /*!
        Returns whether the version of \a entry has been rolled back or replaced.
    */
    bool isRolledBack(const EngineEntry &entry) const;

    /*!
        Records that a request on \a route was sent to the engine of \a entry, and its outcome.
    */
    void recordSend(const EngineEntry &entry, const std::string &route);
    void recordOutcome(const EngineEntry &entry, const std::string &route, SendEvidence outcome,
                       Duration firstEvent);

    /*!
        Adds this node's evidence and the known steps to \a tally.
    */
    void report(wire::Tally &tally) const;

    /*!
        Records whether this node hears the other nodes. Otherwise, it sends nothing to targets.
    */
    void setInTouch(bool isInTouch) { m_isInTouch = isInTouch; }

    RolloutBook book;
    ObjectReplica orderReplica;

private:
    struct SeenVersion
    {
        Timestamp seenAt; //!< Time at which an engine of the version was first seen.
        //! StoreRevision::ordinal() of that engine's entry; 0 if unknown.
        std::int64_t revision = 0;
        bool isCleared = false; //!< The orders of that time or a later one are known.
        bool wasInUse = false; //!< The version got requests without an order that names it.
    };
    //! Service, order, version and route.
    using EvidenceKey = std::tuple<std::string, std::int64_t, std::string, std::string>;

    SeenVersion &seenVersion(const std::string &service, const std::string &version);
    VersionCounts *evidence(const EngineEntry &entry, const std::string &route);

    RolloutExposure m_exposure;
    std::map<std::pair<std::string, std::string>, SeenVersion> m_versions; //!< By service, version.
    std::map<EvidenceKey, VersionCounts> m_evidence;
    bool m_isInTouch = true;
};

} // namespace sesame
