#pragma once

#include "Core/claimshard.h"
#include "Core/invariant.h"
#include "Core/lastreason.h"
#include "Core/ports.h"
#include "Core/resultcode.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

struct ClaimLedgerOptions
{
    std::string node;
    std::uint64_t incarnation = 0; //!< Random number that differs for each start of a process.
    std::uint32_t shardCount = 64; //!< Number of shards, as returned by readOrCreateShardCount().
    std::chrono::milliseconds retention = std::chrono::hours(168);
    std::size_t answerLimitBytes = 2'048; //!< Longer answers are not stored.
    std::size_t shardLimitBytes = 1'000'000; //!< Largest value that the object service accepts.
    //! Space in a shard that new claims leave free for answers.
    std::size_t answerHeadroomBytes = 65'536;
    //! Limit of the total encoded size of the cached shards. Each shard may use an equal part; a
    //! larger shard is not cached and is read from the store for each commit.
    std::size_t cacheLimitBytes = 50'000'000;
    //! Largest difference between the wall clocks of two nodes.
    std::chrono::milliseconds clockTolerance {2000};
    //! Write attempts per commit before the store is treated as unavailable.
    int maxWriteAttempts = 8;
};

/*!
    A request for the permission to send one call to a backend server.
*/
struct ClaimRequest
{
    std::string key; //!< Result of computeClaimKey().
    std::string fingerprint; //!< Result of computeCallFingerprint().
    //! The call must be sent within this time after the claim.
    std::chrono::milliseconds sendWindow {2000};
    //! Longest time from sending the call to its answer.
    std::chrono::milliseconds callTimeout {5000};
};

/*!
    Permission to send one call once, valid while ClaimLedger::canStillSend() returns true.
*/
struct Claim
{
    std::string key;
    std::string attempt;
    Timestamp sendBefore;
    WallMillis sendBeforeWall = 0;
};

/*!
    Returns whether the deadline of \a claim has not passed, neither at \a now on the monotonic
    clock nor at \a wall on the wall clock. The wall clock is checked too, because a monotonic
    clock can stop while an instance is suspended.
*/
inline bool isBeforeDeadline(const Claim &claim, Timestamp now, WallMillis wall)
{
    return now < claim.sendBefore && wall < claim.sendBeforeWall;
}

enum class ClaimStatus {
    Granted, //!< The call may be sent.
    CompletedEarlier, //!< ClaimResult::answer contains the recorded outcome.
    InProgress, //!< Another attempt holds the claim and may still record its outcome (1401).
    Unknown, //!< Another attempt holds the claim and its time has expired (1400).
    KeyReused, //!< The key was used before with a different call (1107).
    StoreUnavailable, //!< The store is unavailable, so the call must not be sent (1203).
    //! The shard has no space left, so the call must not be sent (1203). Space becomes available
    //! when old claims expire.
    ShardFull
};

struct ClaimResult
{
    ClaimStatus status = ClaimStatus::StoreUnavailable;
    Claim claim; //!< Set only for ClaimStatus::Granted.
    RecordedAnswer answer; //!< Set only for ClaimStatus::CompletedEarlier.
};

enum class RecordStatus {
    Recorded,
    Pending, //!< The write is not confirmed; the next commit to the shard writes the outcome.
    NotHeld //!< The claim has expired and was removed from the ledger.
};

struct OutcomeRecord
{
    Claim claim;
    RecordedAnswer answer;
};

enum class LookupStatus { NotClaimed, Completed, InProgress, Unknown, StoreUnavailable };

struct LookupResult
{
    LookupStatus status = LookupStatus::StoreUnavailable;
    RecordedAnswer answer; //!< Set only for LookupStatus::Completed.
};

/*!
    The changes that one commit to a shard writes.
*/
struct LedgerBatch
{
    std::span<const ClaimRequest> claims;
    std::span<const OutcomeRecord> outcomes;
    std::span<const std::string> executedKeys; //!< Keys whose calls a status lookup found executed.
};

struct CommitResult
{
    //! One result for each element of LedgerBatch::claims, in order.
    std::vector<ClaimResult> claims;
    //! One result for each element of LedgerBatch::outcomes, in order.
    std::vector<RecordStatus> outcomes;
    //! One result for each element of LedgerBatch::executedKeys, in order.
    std::vector<LookupResult> executed;
    bool stored = false; //!< Whether the shard in the store contains the whole batch.
};

/*!
    Returns the number of shards of the ledger in \a store. The first node sets it to
    \a configured. Later changes of the setting have no effect: with another number of shards an
    existing claim would not be found, and its call would be executed again.
    Returns std::nullopt with a last reason if the number cannot be read from the store.
*/
template <ObjectStore Store>
std::optional<std::uint32_t> readOrCreateShardCount(Store &store, std::uint32_t configured)
{
    constexpr std::string_view name = "ledger/layout";
    StoreResult found = store.read(name);
    if (found.status == StoreStatus::NotFound) {
        store.writeIf(name, std::to_string(configured), 0);
        found = store.read(name);
    }
    if (found.status != StoreStatus::Ok)
        return fail(ResultCode::StoreUnavailable, "ledger/layout cannot be read");
    return parseShardCount(found.value);
}

/*!
    Grants each non-idempotent call to at most one attempt. The claims are stored only in the
    object service. Not thread-safe, except that calls for different shards may run concurrently.

    A claim is granted when the store contains it, which is certain after a successful conditional
    write or after reading the attempt's own id back. Claims are never transferred to another
    attempt: the outcome of a call whose attempt ended without one stays unknown until a status
    lookup finds the call executed. A lookup that finds no execution changes nothing, because the
    call may still be in transit.
*/
template <ObjectStore Store, Clock ClockType>
class ClaimLedger
{
public:
    ClaimLedger(Store &store, const ClockType &clock, ClaimLedgerOptions options)
        : m_store(store), m_clock(clock), m_options(std::move(options)),
          m_retentionMillis(m_options.retention.count()), m_shards(m_options.shardCount)
    {
    }

    std::uint32_t shardCount() const { return m_options.shardCount; }

    std::uint32_t shardOf(std::string_view key) const
    {
        return claimShardIndex(key, m_options.shardCount);
    }

    /*!
        Sets how long claims are kept. Thread-safe.
    */
    void setRetention(std::chrono::milliseconds retention)
    {
        m_retentionMillis = retention.count();
    }

    /*!
        Tries to claim the call of \a request.
    */
    ClaimResult claim(const ClaimRequest &request)
    {
        return std::move(claimBatch(std::span(&request, 1)).front());
    }

    /*!
        Tries to claim the calls of \a requests with one write. All keys must belong to one shard.
    */
    std::vector<ClaimResult> claimBatch(std::span<const ClaimRequest> requests)
    {
        if (requests.empty())
            return {};
        return commit(shardOf(requests.front().key),
                      {.claims = requests, .outcomes = {}, .executedKeys = {}})
                .claims;
    }

    /*!
        Returns whether the call of \a claim may be sent at \a now. Must be called immediately
        before the first byte is written: a node that was paused after the claim must not send
        the call, because the claim may have expired.
    */
    bool canStillSend(const Claim &claim, Timestamp now) const
    {
        return isBeforeDeadline(claim, now, m_clock.wallMillis());
    }

    /*!
        Records the outcome of the call of \a claim. Outcome::NotRun releases the key, so that a
        repeated call may be sent; it is correct only if no byte was sent.
    */
    RecordStatus recordOutcome(const Claim &claim, RecordedAnswer answer)
    {
        const OutcomeRecord record {.claim = claim, .answer = std::move(answer)};
        const std::span outcomes(&record, 1);
        return commit(shardOf(claim.key), {.claims = {}, .outcomes = outcomes, .executedKeys = {}})
                .outcomes.front();
    }

    /*!
        Returns the state of \a key as read from the store.
    */
    LookupResult lookup(std::string_view key)
    {
        ShardState &state = m_shards[shardOf(key)];
        if (!reload(shardOf(key), state))
            return {};
        return makeLookupResult(*state.content, key);
    }

    /*!
        Applies the result of a status lookup for \a key and returns the resulting state of the
        key. If the call was not \a executed, the ledger is not changed.
    */
    LookupResult applyStatusLookup(std::string_view key, bool executed)
    {
        if (!executed)
            return lookup(key);
        const std::string copy(key);
        const std::span keys(&copy, 1);
        return commit(shardOf(key), {.claims = {}, .outcomes = {}, .executedKeys = keys})
                .executed.front();
    }

    /*!
        Returns whether outcomes or abandoned claims of \a shard have not been written yet.
    */
    bool needsFlush(std::uint32_t shard) const
    {
        return !m_shards[shard].pendingOutcomes.empty() || !m_shards[shard].abandonedClaims.empty();
    }

    /*!
        Writes the outstanding changes of \a shard. Returns false if some are still not written.
    */
    bool flush(std::uint32_t shard)
    {
        commit(shard, {});
        return !needsFlush(shard);
    }

    /*!
        Applies \a batch to \a shard with one conditional write. After a conflict the shard is read
        again and the write is repeated. Every key of the batch must belong to \a shard.
    */
    CommitResult commit(std::uint32_t shard, const LedgerBatch &batch)
    {
        ShardState &state = m_shards[shard];
        PreparedClaims prepared = prepareClaims(state, batch);
        bool isUncertain = false;
        for (int n = 0; n < m_options.maxWriteAttempts && !hasPassedDeadline(prepared); ++n) {
            if (!state.content && !reload(shard, state))
                break;
            ShardUpdate update = apply(state, batch, prepared);
            if (update.needsReload) {
                state.content.reset();
                continue;
            }
            if (!update.changed)
                return finishCommitted(state, std::move(update));
            const std::string value = update.content.encode();
            const std::uint64_t expected = state.version;
            const StoreResult written = m_store.writeIf(claimShardObjectKey(shard), value,
                                                        expected);
            if (written.status == StoreStatus::Ok) {
                update.version = written.version;
                return finishCommitted(state, std::move(update));
            }
            state.content.reset();
            if (written.status == StoreStatus::Unavailable)
                break;
            // After a lost answer the next iteration reads the shard back. Either it finds the
            // attempts there, or it writes again, which also ensures that the lost write cannot
            // take effect later.
            if (written.status == StoreStatus::AnswerLost) {
                isUncertain = true;
                prepared.lostWriteExpectedVersion = expected;
            }
        }
        return finishUncommitted(state, batch, prepared, isUncertain);
    }

private:
    //! A claim that was not granted, although its write reached the store or may still reach it.
    struct AbandonedClaim
    {
        std::string key;
        std::string attempt;
        std::uint64_t expectedVersion = 0; //!< The lost write can succeed only on this version.
    };

    struct ShardState
    {
        //! Cached content of \c version; the store may have a newer one.
        std::optional<ClaimShard> content;
        std::uint64_t version = 0;
        bool isFresh = false; //!< Whether \c content was read in the current commit or lookup.
        std::uint64_t attemptCount = 0;
        std::vector<OutcomeRecord> pendingOutcomes;
        std::vector<AbandonedClaim> abandonedClaims;
    };

    //! The claims of one commit. Their attempt ids stay the same for all write attempts.
    struct PreparedClaims
    {
        std::vector<Claim> claims;
        Timestamp deadline;
        std::uint64_t lostWriteExpectedVersion = 0;
    };

    struct ShardUpdate
    {
        ClaimShard content;
        std::uint64_t version = 0;
        std::vector<ClaimResult> claims;
        std::vector<RecordStatus> outcomes;
        std::vector<LookupResult> executed;
        bool changed = false;
        bool needsReload = false;
    };

    PreparedClaims prepareClaims(ShardState &state, const LedgerBatch &batch)
    {
        state.isFresh = false;
        const Timestamp now = m_clock.now();
        const WallMillis wall = m_clock.wallMillis();
        PreparedClaims prepared;
        for (const ClaimRequest &request : batch.claims) {
            requireInvariant(&m_shards[shardOf(request.key)] == &state, "claim in its own shard");
            // With a window close to the retention time, a claim could expire before its call
            // is sent.
            const auto window = std::min(request.sendWindow,
                                         std::chrono::milliseconds(m_retentionMillis.load()) / 2);
            prepared.claims.push_back(
                    {.key = request.key,
                     .attempt = makeAttemptId(m_options.incarnation, ++state.attemptCount),
                     .sendBefore = now + window,
                     .sendBeforeWall = wall + window.count()});
            prepared.deadline = std::max(prepared.deadline, now + window);
        }
        return prepared;
    }

    // A claim that is committed after its deadline cannot be used and only blocks its key.
    bool hasPassedDeadline(const PreparedClaims &prepared) const
    {
        return !prepared.claims.empty() && m_clock.now() >= prepared.deadline;
    }

    bool reload(std::uint32_t shard, ShardState &state)
    {
        state.content.reset();
        StoreResult found = m_store.read(claimShardObjectKey(shard));
        if (found.status == StoreStatus::NotFound)
            state.content = ClaimShard();
        else if (found.status == StoreStatus::Ok)
            state.content = ClaimShard::decode(found.value);
        state.version = found.version;
        state.isFresh = state.content.has_value();
        return state.isFresh;
    }

    ShardUpdate apply(const ShardState &state, const LedgerBatch &batch,
                      const PreparedClaims &prepared)
    {
        ShardUpdate update;
        update.content = *state.content;
        update.version = state.version;
        update.content.dropExpired(m_clock.wallMillis() - m_retentionMillis.load());
        for (const AbandonedClaim &entry : state.abandonedClaims) {
            const wire::ClaimRecord *found = update.content.find(entry.key);
            if (!found || found->attempt != entry.attempt)
                continue;
            update.content.erase(entry.key);
            update.changed = true;
        }
        for (const OutcomeRecord &outcome : state.pendingOutcomes)
            applyOutcome(outcome, update);
        for (const OutcomeRecord &outcome : batch.outcomes)
            update.outcomes.push_back(applyOutcome(outcome, update));
        for (const std::string &key : batch.executedKeys) {
            applyExecutedKey(key, update);
            update.executed.push_back(makeLookupResult(update.content, key));
        }
        for (std::size_t n = 0; n < batch.claims.size(); ++n)
            update.claims.push_back(applyClaim(batch.claims[n], prepared.claims[n], state, update));
        return update;
    }

    RecordStatus applyOutcome(const OutcomeRecord &outcome, ShardUpdate &update)
    {
        const std::string &key = outcome.claim.key;
        const wire::ClaimRecord *found = update.content.find(key);
        const bool isHeld = found && found->attempt == outcome.claim.attempt;
        if (outcome.answer.outcome == Outcome::NotRun) {
            if (isHeld) {
                update.content.erase(key);
                update.changed = true;
            }
            return RecordStatus::Recorded;
        }
        if (!isHeld)
            return RecordStatus::NotHeld;
        const bool hasFinalOutcome = isFinal(*found) && !found->fromStatusLookup;
        const bool isRepeated = found->state == static_cast<std::int32_t>(ClaimState::Unknown)
                && outcome.answer.outcome == Outcome::Unknown;
        const bool losesInformation = isFinal(*found) && outcome.answer.outcome == Outcome::Unknown;
        if (hasFinalOutcome || isRepeated || losesInformation)
            return RecordStatus::Recorded;
        update.content.setAnswer(key, outcome.answer, m_options.answerLimitBytes,
                                 m_options.shardLimitBytes);
        update.changed = true;
        return RecordStatus::Recorded;
    }

    void applyExecutedKey(const std::string &key, ShardUpdate &update)
    {
        const wire::ClaimRecord *found = update.content.find(key);
        if (!found || isFinal(*found))
            return;
        update.content.setAnswer(key,
                                 {.outcome = Outcome::Complete,
                                  .code = ResultCode::Ok,
                                  .httpStatus = httpOk,
                                  .contentType = {},
                                  .body = {},
                                  .bodyOmitted = true,
                                  .fromStatusLookup = true},
                                 m_options.answerLimitBytes, m_options.shardLimitBytes);
        update.changed = true;
    }

    ClaimResult applyClaim(const ClaimRequest &request, const Claim &claim, const ShardState &state,
                           ShardUpdate &update)
    {
        const wire::ClaimRecord *found = update.content.find(request.key);
        if (found && found->attempt == claim.attempt)
            return {.status = ClaimStatus::Granted, .claim = claim, .answer = {}};
        if (found) {
            // The outcome of an open claim may have been recorded since the shard was cached.
            update.needsReload = update.needsReload || (!state.isFresh && !isFinal(*found));
            return makeClaimResult(*found, request);
        }
        wire::ClaimRecord record;
        record.key = request.key;
        record.fingerprint = request.fingerprint;
        record.attempt = claim.attempt;
        record.node = m_options.node;
        record.claimedAtMillis = m_clock.wallMillis();
        record.sendBeforeMillis = claim.sendBeforeWall;
        record.expectedByMillis = claim.sendBeforeWall + request.callTimeout.count();
        const std::size_t size = update.content.sizeBound() + ClaimShard::recordSizeBound(record);
        if (size + m_options.answerHeadroomBytes > m_options.shardLimitBytes)
            return {.status = ClaimStatus::ShardFull, .claim = {}, .answer = {}};
        update.content.insert(record);
        update.changed = true;
        return {.status = ClaimStatus::Granted, .claim = claim, .answer = {}};
    }

    ClaimResult makeClaimResult(const wire::ClaimRecord &record, const ClaimRequest &request) const
    {
        if (record.fingerprint != request.fingerprint)
            return {.status = ClaimStatus::KeyReused, .claim = {}, .answer = {}};
        if (isFinal(record)) {
            return {.status = ClaimStatus::CompletedEarlier,
                    .claim = {},
                    .answer = makeRecordedAnswer(record)};
        }
        return {.status = isOverdue(record) ? ClaimStatus::Unknown : ClaimStatus::InProgress,
                .claim = {},
                .answer = {}};
    }

    LookupResult makeLookupResult(const ClaimShard &content, std::string_view key) const
    {
        const wire::ClaimRecord *found = content.find(key);
        if (!found)
            return {.status = LookupStatus::NotClaimed, .answer = {}};
        if (isFinal(*found))
            return {.status = LookupStatus::Completed, .answer = makeRecordedAnswer(*found)};
        return {.status = isOverdue(*found) ? LookupStatus::Unknown : LookupStatus::InProgress,
                .answer = {}};
    }

    static bool isFinal(const wire::ClaimRecord &record)
    {
        const auto state = static_cast<ClaimState>(record.state);
        return state == ClaimState::Complete || state == ClaimState::Failed;
    }

    bool isOverdue(const wire::ClaimRecord &record) const
    {
        return record.state == static_cast<std::int32_t>(ClaimState::Unknown)
                || m_clock.wallMillis()
                >= record.expectedByMillis + m_options.clockTolerance.count();
    }

    CommitResult finishCommitted(ShardState &state, ShardUpdate update)
    {
        const bool written = update.changed;
        state.pendingOutcomes.clear();
        // If nothing was written, a lost write that expects this version can still take effect.
        std::erase_if(state.abandonedClaims, [&](const AbandonedClaim &entry) {
            return written || update.version != entry.expectedVersion;
        });
        const bool fitsCache = update.content.sizeBound()
                <= m_options.cacheLimitBytes / m_shards.size();
        state.version = update.version;
        state.content.reset();
        if (fitsCache)
            state.content = std::move(update.content);
        return {.claims = std::move(update.claims),
                .outcomes = std::move(update.outcomes),
                .executed = std::move(update.executed),
                .stored = true};
    }

    CommitResult finishUncommitted(ShardState &state, const LedgerBatch &batch,
                                   const PreparedClaims &prepared, bool isUncertain)
    {
        CommitResult result;
        for (const Claim &claim : prepared.claims) {
            result.claims.emplace_back();
            if (isUncertain)
                state.abandonedClaims.push_back(
                        {claim.key, claim.attempt, prepared.lostWriteExpectedVersion});
        }
        for (const OutcomeRecord &outcome : batch.outcomes) {
            state.pendingOutcomes.push_back(outcome);
            result.outcomes.push_back(RecordStatus::Pending);
        }
        result.executed.resize(batch.executedKeys.size());
        return result;
    }

    static constexpr int httpOk = 200;

    Store &m_store;
    const ClockType &m_clock;
    ClaimLedgerOptions m_options;
    std::atomic<std::int64_t> m_retentionMillis;
    std::vector<ShardState> m_shards;
};

} // namespace sesame
