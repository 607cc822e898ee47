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
    State of a claim. The values are stored in wire::ClaimRecord::state.
*/
enum class ClaimState : std::int32_t {
    Claimed = 0, //!< The call may be sent, or was sent and its outcome is not recorded yet.
    Unknown = 1, //!< The call was sent and its answer was lost.
    Complete = 2,
    Failed = 3
};

/*!
    The recorded outcome of a call. A repeated call with the same key receives it.
*/
struct RecordedAnswer
{
    Outcome outcome = Outcome::Unknown;
    ResultCode code = ResultCode::OutcomeUnknown;
    int httpStatus = 0;
    std::string contentType {};
    std::string body {};
    bool bodyOmitted = false; //!< Whether the body was too long to be stored.
    //! Whether a status lookup reported the execution, so that the answer itself is not known.
    bool fromStatusLookup = false;
};

/*!
    Returns the ledger's key for \a idempotencyKey of \a account: the first 16 bytes of a SHA-256
    hash. A cryptographic hash is needed, because callers choose their keys and must not be able
    to find a key that collides with one of another account.
*/
std::string computeClaimKey(std::string_view account, std::string_view idempotencyKey);

/*!
    Returns a 16-byte hash of the content of a call, given as \a parts such as its path and body.
*/
std::string computeCallFingerprint(std::initializer_list<std::string_view> parts);

/*!
    Returns the index of the shard of \a key among \a shardCount shards. All nodes compute the
    same index.
*/
std::uint32_t claimShardIndex(std::string_view key, std::uint32_t shardCount);

/*!
    Returns the key of the object that stores the claims of \a shard, for example "ledger/007".
    The number has at least three digits.
*/
std::string claimShardObjectKey(std::uint32_t shard);

/*!
    Parses \a text, the value of the object "ledger/layout". Returns std::nullopt with a last
    reason if it is not a number from 1 to 65536.
*/
std::optional<std::uint32_t> parseShardCount(std::string_view text);

/*!
    Returns a 16-byte id of attempt \a number of the process with \a incarnation.
*/
std::string makeAttemptId(std::uint64_t incarnation, std::uint64_t number);

/*!
    Returns the answer recorded in \a record.
*/
RecordedAnswer makeRecordedAnswer(const wire::ClaimRecord &record);

/*!
    The claims of one shard of the ledger, with an upper bound of their encoded size.
*/
class ClaimShard
{
public:
    /*!
        Decodes a stored object. Returns std::nullopt with a last reason if \a text has an unknown
        format. Such an object must not be overwritten.
    */
    static std::optional<ClaimShard> decode(std::string_view text);

    std::string encode() const;

    /*!
        Returns the claim of \a key, or nullptr if there is none.
    */
    const wire::ClaimRecord *find(std::string_view key) const;

    void insert(const wire::ClaimRecord &record);
    void erase(std::string_view key);

    /*!
        Stores \a answer in the claim of \a key, if there is one. The content type and the body are
        omitted if they are longer than \a bodyLimitBytes or make the object larger than
        \a shardLimitBytes.
    */
    void setAnswer(std::string_view key, const RecordedAnswer &answer, std::size_t bodyLimitBytes,
                   std::size_t shardLimitBytes);

    /*!
        Removes the claims made before \a claimedBefore.
    */
    void dropExpired(WallMillis claimedBefore);

    std::size_t count() const { return m_records.size(); }

    /*!
        Returns an upper bound of the size of encode() in bytes.
    */
    std::size_t sizeBound() const { return m_sizeBound; }

    /*!
        Returns the number of bytes that \a record adds to sizeBound().
    */
    static std::size_t recordSizeBound(const wire::ClaimRecord &record);

private:
    std::map<std::string, wire::ClaimRecord, std::less<>> m_records;
    std::size_t m_sizeBound = 0;
};

} // namespace sesame
