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
    What an operator asks for. \c applyId must be unique for each attempt to apply a file.
*/
struct ApplyRequest
{
    std::string fleetFile {};
    std::string fileName {}; //!< For error texts.
    std::string applyId {}; //!< Without spaces.
    std::optional<std::uint64_t> baseVersion {}; //!< Version the file was derived from.
    //! Highest version that a node reports. A store with a lower one was restored from an
    //! older copy, and a document written on top of it would never be adopted.
    std::uint64_t highestNodeVersion = 0;
};

enum class ApplyStatus : std::uint8_t {
    Accepted, //!< Durably written; \c version is or was the version in force.
    AlreadyInForce, //!< The store holds the same file; nothing was written.
    Refused, //!< The file is not valid or would lower a limit; nothing was written.
    Conflict, //!< Another operator was first; \c difference shows the change.
    Unavailable, //!< The store cannot be reached or used for now; nothing was written.
    Unknown //!< The answer was lost and the store cannot be read.
};

struct ApplyResult
{
    ApplyStatus status = ApplyStatus::Unknown;
    ResultCode code = ResultCode::Ok;
    std::uint64_t version = 0; //!< Version written or found in the store.
    std::string reason {};
    std::string difference {}; //!< Lines of the file in the store (-) and of the offered one (+).
};

/*!
    Decides whether \a request may replace \a current (version 0: no document), and builds the
    document to write. Returns the document, or the result that ends the `apply`.
*/
std::pair<std::optional<FleetDocument>, ApplyResult>
prepareFleetDocument(const ApplyRequest &request, const FleetDocument &current);

/*!
    Returns the result for a \a request that lost against \a current.
*/
ApplyResult makeConflict(const ApplyRequest &request, const FleetDocument &current,
                         ResultCode code);

/*!
    Returns whether \a document was written by \a request or on top of its document.
*/
bool containsApply(const FleetDocument &document, const ApplyRequest &request);

/*!
    Writes fleet files to the store. Called by the command `apply`.
*/
template <ObjectStore Store>
class FleetPublisher
{
public:
    /*!
        Calls \a wait before each attempt to read back a write whose answer was lost.
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
            // A conflict is read back too: a client that sent the write twice sees its own write.
            return readBack(request, stored, read.version, result);
        }
    }

private:
    /*!
        Fills \a current from \a read. Returns a result only if the read failed.
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
        Finds out what became of a write that \a accepted describes. While the store still holds
        the version that the write was conditional on, the write is sent again; the condition
        lets it take effect once at most.
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
            // A store restored to an older copy says nothing about the write.
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
