#pragma once

#include "Core/ports.h"
#include "Core/resultcode.h"

#include <ledger_types.h>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    State of a claim as stored in wire::ClaimRecord::state.
*/
enum class ClaimState : std::int32_t {
    Claimed = 0, //!< The attempt may send, or has sent and not recorded an outcome.
    Unknown = 1, //!< The attempt was sent and its answer was lost.
    Complete = 2,
    Failed = 3
};

/*!
    The recorded outcome of a call, as a repeat with the same key receives it.
*/
struct RecordedAnswer
{
    Outcome outcome = Outcome::Unknown;
    ResultCode code = ResultCode::OutcomeUnknown;
    int httpStatus = 0;
    std::string contentType {};
    std::string body {};
    bool bodyOmitted = false; //!< The body was too long to be kept.
    bool fromStatusLookup = false; //!< Only the execution is known, not the answer.
};

/*!
    Returns the ledger's key for \a idempotencyKey of \a account: the first 16 bytes of a SHA-256.
    A cryptographic hash is needed, because a caller chooses the key and must not be able to
    find one that collides with another account's.
*/
std::string computeClaimKey(std::string_view account, std::string_view idempotencyKey);

/*!
    Returns 16 bytes that identify the content of a call, for example its path and its body.
*/
std::string computeCallFingerprint(std::initializer_list<std::string_view> parts);

/*!
    Returns the shard of \a key, which is the same on all nodes.
*/
std::uint32_t claimShardIndex(std::string_view key, std::uint32_t shardCount);

/*!
    Returns the key of the ledger object with the claims of \a shard, for example "ledger/007";
    the number has at least three digits.
*/
std::string claimShardObjectKey(std::uint32_t shard);

/*!
    Reads the value of the object "ledger/layout". Returns std::nullopt with a last reason if
    \a text is not a number from 1 to 65536.
*/
std::optional<std::uint32_t> parseShardCount(std::string_view text);

/*!
    Returns 16 bytes that identify attempt \a number of one process.
*/
std::string makeAttemptId(std::uint64_t incarnation, std::uint64_t number);

/*!
    Returns the answer recorded in \a record.
*/
RecordedAnswer makeRecordedAnswer(const wire::ClaimRecord &record);

/*!
    The claims of one ledger object. Tracks an upper bound of its encoded size.
*/
class ClaimShard
{
public:
    /*!
        Reads a stored object. Returns std::nullopt with a last reason if \a text has another
        format; such an object must not be overwritten.
    */
    static std::optional<ClaimShard> decode(std::string_view text);

    std::string encode() const;

    /*!
        Returns the claim of \a key or a null pointer.
    */
    const wire::ClaimRecord *find(std::string_view key) const;

    void insert(const wire::ClaimRecord &record);
    void erase(std::string_view key);

    /*!
        Writes \a answer into the claim of \a key. A body is omitted if it is longer than
        \a bodyLimitBytes or makes the object larger than \a shardLimitBytes.
    */
    void setAnswer(std::string_view key, const RecordedAnswer &answer, std::size_t bodyLimitBytes,
                   std::size_t shardLimitBytes);

    /*!
        Drops the claims made before \a claimedBefore.
    */
    void dropExpired(WallMillis claimedBefore);

    std::size_t count() const { return m_records.size(); }

    /*!
        Returns a number of bytes that encode() does not exceed.
    */
    std::size_t sizeBound() const { return m_sizeBound; }

    /*!
        Returns what \a record adds to sizeBound().
    */
    static std::size_t recordSizeBound(const wire::ClaimRecord &record);

private:
    std::map<std::string, wire::ClaimRecord, std::less<>> m_records;
    std::size_t m_sizeBound = 0;
};

} // namespace sesame
