#pragma once

#include "Core/fleetconfig.h"
#include "Core/fleetdocument.h"
#include "Core/ports.h"
#include "Core/resultcode.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace sesame {

/*!
    A request of an operator to publish a fleet file. \c applyId must be unique for each attempt.
*/
struct ApplyRequest
{
    std::string fleetFile {};
    std::string fileName {}; //!< File name for error messages.
    std::string applyId {}; //!< Id of the attempt. It must not contain spaces.
    std::optional<std::uint64_t> baseVersion {}; //!< Version that the file was derived from.
    //! Highest version that a node reports. A store with a lower version was restored from an older
    //! copy, and the nodes would never adopt a document based on that version.
    std::uint64_t highestNodeVersion = 0;
};

enum class ApplyStatus : std::uint8_t {
    Accepted, //!< The file was written durably; \c version is or was the version in force.
    AlreadyInForce, //!< The store contains the same file; nothing was written.
    Refused, //!< The file is invalid or must not replace the current one; nothing was written.
    Conflict, //!< Another operator wrote first; \c difference shows the change.
    Unavailable, //!< The store is currently unreachable or unusable; nothing was written.
    Unknown //!< The answer to the write was lost and the store cannot be read.
};

struct ApplyResult
{
    ApplyStatus status = ApplyStatus::Unknown;
    ResultCode code = ResultCode::Ok;
    std::uint64_t version = 0; //!< Version written or found in the store.
    std::string reason {};
    std::string difference {}; //!< Lines of the file in the store (-) and of the new one (+).
};

/*!
    Checks whether the file of \a request may replace \a current, which has version 0 if there is no
    document yet. Returns the document to write and the result of a successful write, or no document
    and the result of the failed `apply`.
*/
std::pair<std::optional<FleetDocument>, ApplyResult>
prepareFleetDocument(const ApplyRequest &request, const FleetDocument &current);

/*!
    Returns the result for a \a request that conflicts with \a current.
*/
ApplyResult makeConflict(const ApplyRequest &request, const FleetDocument &current,
                         ResultCode code);

/*!
    Returns whether \a document was written by \a request, or is a successor of its document.
*/
bool containsApply(const FleetDocument &document, const ApplyRequest &request);

/*!
    Writes fleet files to the store. Used by the command `apply`.
*/
template <ObjectStore Store>
class FleetPublisher
{
public:
    /*!
        Up to \a maxReadBacks times, an unconfirmed write is read back to determine whether it took
        effect. \a waitBeforeRetry is called after each inconclusive attempt.
    */
    FleetPublisher(Store &store, std::function<void()> waitBeforeRetry, int maxReadBacks = 20)
        : m_store(store), m_waitBeforeRetry(std::move(waitBeforeRetry)),
          m_maxReadBacks(maxReadBacks)
    {
    }

    ApplyResult apply(const ApplyRequest &request)
    {
        const StoreResult read = m_store.read(fleetObjectKey);
        FleetDocument current;
        if (auto failure = decodeRead(read, current))
            return *failure;
        auto [document, result] = prepareFleetDocument(request, current);
        if (!document)
            return result;
        const std::string stored = encodeFleetDocument(*document);
        const StoreResult written = m_store.writeIf(fleetObjectKey, stored, read.version);
        switch (written.status) {
        case StoreStatus::Ok:
            return result;
        case StoreStatus::Unavailable:
            return {.status = ApplyStatus::Unavailable,
                    .code = ResultCode::StoreUnavailable,
                    .reason = "the object service refused the write"};
        default:
            // A conflict is read back too, because it may be caused by this client's own write if
            // the write was sent twice.
            return readBack(request, stored, read.version, result);
        }
    }

private:
    /*!
        Stores the document of \a read in \a current. Returns a result only if the read failed.
    */
    static std::optional<ApplyResult> decodeRead(const StoreResult &read, FleetDocument &current)
    {
        if (read.status == StoreStatus::NotFound)
            return std::nullopt;
        if (read.status != StoreStatus::Ok)
            return ApplyResult {.status = ApplyStatus::Unavailable,
                                .code = ResultCode::StoreUnavailable,
                                .reason = "the object service cannot be read"};
        std::optional<FleetDocument> decoded = decodeFleetDocument(read.value);
        if (!decoded)
            return ApplyResult {.status = ApplyStatus::Unavailable,
                                .code = ResultCode::InvalidSettings,
                                .reason = "the object service holds no valid fleet document"};
        current = std::move(*decoded);
        return std::nullopt;
    }

    /*!
        Determines whether a write took effect, and returns \a accepted if it did. While the store
        still contains the version that the write was conditional on, the write is sent again. Due
        to the condition it takes effect at most once.
    */
    ApplyResult readBack(const ApplyRequest &request, const std::string &stored,
                         std::uint64_t baseObjectVersion, const ApplyResult &accepted)
    {
        for (int i = 0; i < m_maxReadBacks; ++i) {
            const StoreResult read = m_store.read(fleetObjectKey);
            FleetDocument current;
            const bool isKnown = read.status == StoreStatus::Ok
                    || read.status == StoreStatus::NotFound;
            if (isKnown && !decodeRead(read, current) && containsApply(current, request))
                return accepted;
            // A store that was restored from an older copy does not show whether the write took
            // effect.
            const bool wasRestored = current.version + 1 < accepted.version;
            if (isKnown && read.version != baseObjectVersion && !wasRestored)
                return makeConflict(request, current, ResultCode::ConfigurationConflict);
            if (isKnown && read.version == baseObjectVersion
                && m_store.writeIf(fleetObjectKey, stored, baseObjectVersion).status
                        == StoreStatus::Ok)
                return accepted;
            m_waitBeforeRetry();
        }
        return {.status = ApplyStatus::Unknown,
                .code = ResultCode::StoreAnswerLost,
                .reason = "the answer to the write was lost and the object service cannot be read"};
    }

    Store &m_store;
    std::function<void()> m_waitBeforeRetry;
    int m_maxReadBacks;
};

} // namespace sesame
