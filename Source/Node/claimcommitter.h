#pragma once

#include "Core/claimledger.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

/*!
    Thread-safe access to a ClaimLedger with group commit: while one thread waits for the store's
    answer for a shard, the calls of other threads for this shard are queued, and the next thread
    writes all of them with one update. No lock is held during calls to the store.
*/
template <ObjectStore Store, Clock ClockType>
class ClaimCommitter
{
public:
    /*!
        \a options.shardCount is the configured number of shards. The effective number is read from
        the store by the first call that reaches it.
    */
    ClaimCommitter(Store &store, const ClockType &clock, ClaimLedgerOptions options)
        : m_store(store), m_clock(clock), m_options(std::move(options))
    {
    }

    /*!
        Applies the fleet configuration. The number of shards has an effect only before the first
        claim of the deployment.
    */
    void configure(std::uint32_t shards, std::chrono::milliseconds retention)
    {
        const std::lock_guard lock(m_mutex);
        m_options.shardCount = shards;
        m_options.retention = retention;
        if (m_ledger)
            m_ledger->setRetention(retention);
    }

    /*!
        Tries to claim a call, see ClaimLedger::claim(). Blocks until the store has answered.
    */
    ClaimResult claim(const ClaimRequest &request)
    {
        Job job;
        job.claim = &request;
        runJob(request.key, job);
        return std::move(job.claimResult);
    }

    /*!
        Returns whether the call of \a claim may be sent, see ClaimLedger::canStillSend().
    */
    bool canStillSend(const Claim &claim, Timestamp now) const
    {
        return isBeforeDeadline(claim, now, m_clock.wallMillis());
    }

    /*!
        Records the outcome of a call, see ClaimLedger::recordOutcome().
    */
    RecordStatus recordOutcome(const Claim &claim, RecordedAnswer answer)
    {
        const OutcomeRecord record {.claim = claim, .answer = std::move(answer)};
        Job job;
        job.outcome = &record;
        runJob(claim.key, job);
        return job.recordStatus;
    }

    /*!
        Returns the state of \a key, see ClaimLedger::lookup().
    */
    LookupResult lookup(std::string_view key) { return applyStatusLookup(key, false); }

    /*!
        Applies the result of a status lookup, see ClaimLedger::applyStatusLookup().
    */
    LookupResult applyStatusLookup(std::string_view key, bool executed)
    {
        const std::string copy(key);
        Job job;
        job.key = &copy;
        job.executed = executed;
        runJob(copy, job);
        return std::move(job.lookupResult);
    }

    /*!
        Writes the outcomes that could not be stored earlier. Should be called every second and
        before the process ends. Returns false if some of them still could not be stored.
    */
    bool flush()
    {
        if (!hasLedger())
            return true;
        bool flushed = true;
        for (std::uint32_t shard = 0; shard < m_shardQueues.size(); ++shard) {
            Job job;
            runOnShard(shard, job);
            flushed = flushed && job.flushed;
        }
        return flushed;
    }

private:
    struct Job
    {
        const ClaimRequest *claim = nullptr;
        const OutcomeRecord *outcome = nullptr;
        //! Key of a status lookup, or of a plain lookup unless \c executed.
        const std::string *key = nullptr;
        bool executed = false;
        bool done = false;
        bool flushed = false; //!< Whether all changes of the shard are stored.
        ClaimResult claimResult;
        RecordStatus recordStatus = RecordStatus::Pending;
        LookupResult lookupResult;
    };

    //! Queue of the jobs for one shard, which are committed one batch at a time.
    struct ShardQueue
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<Job *> waiting;
        bool busy = false;
    };

    using Ledger = ClaimLedger<Store, ClockType>;

    bool hasLedger()
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.has_value();
    }

    std::uint32_t configuredShardCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_options.shardCount;
    }

    bool ensureLedger()
    {
        if (hasLedger())
            return true;
        const auto shards = readOrCreateShardCount(m_store, configuredShardCount());
        if (!shards)
            return false;
        const std::lock_guard lock(m_mutex);
        if (m_ledger)
            return true;
        ClaimLedgerOptions options = m_options;
        options.shardCount = *shards;
        m_shardQueues = std::vector<ShardQueue>(*shards);
        m_ledger.emplace(m_store, m_clock, std::move(options));
        return true;
    }

    void runJob(std::string_view key, Job &job)
    {
        if (ensureLedger())
            runOnShard(m_ledger->shardOf(key), job);
    }

    void runOnShard(std::uint32_t shard, Job &job)
    {
        ShardQueue &queue = m_shardQueues[shard];
        std::unique_lock lock(queue.mutex);
        queue.waiting.push_back(&job);
        queue.changed.wait(lock, [&] {
            return job.done || !queue.busy;
        });
        if (job.done)
            return;
        queue.busy = true;
        const std::vector<Job *> jobs = std::exchange(queue.waiting, {});
        lock.unlock();
        commit(shard, jobs);
        lock.lock();
        for (Job *it : jobs)
            it->done = true;
        queue.busy = false;
        queue.changed.notify_all();
    }

    void commit(std::uint32_t shard, const std::vector<Job *> &jobs)
    {
        std::vector<ClaimRequest> claims;
        std::vector<OutcomeRecord> outcomes;
        std::vector<std::string> executed;
        for (const Job *job : jobs) {
            if (job->claim)
                claims.push_back(*job->claim);
            if (job->outcome)
                outcomes.push_back(*job->outcome);
            if (job->executed)
                executed.push_back(*job->key);
        }
        const bool writes = !claims.empty() || !outcomes.empty() || !executed.empty();
        CommitResult result;
        if (writes || m_ledger->needsFlush(shard)) {
            result = m_ledger->commit(
                    shard, {.claims = claims, .outcomes = outcomes, .executedKeys = executed});
        }
        distributeResults(shard, jobs, std::move(result));
    }

    void distributeResults(std::uint32_t shard, const std::vector<Job *> &jobs, CommitResult result)
    {
        auto claim = result.claims.begin();
        auto outcome = result.outcomes.begin();
        auto executed = result.executed.begin();
        const bool flushed = !m_ledger->needsFlush(shard);
        for (Job *job : jobs) {
            job->flushed = flushed;
            if (job->claim)
                job->claimResult = std::move(*claim++);
            else if (job->outcome)
                job->recordStatus = *outcome++;
            else if (job->executed)
                job->lookupResult = std::move(*executed++);
            else if (job->key)
                job->lookupResult = m_ledger->lookup(*job->key);
        }
    }

    Store &m_store;
    const ClockType &m_clock;
    ClaimLedgerOptions m_options;
    std::mutex m_mutex; //!< Guards m_options and the creation of the ledger and the queues.
    std::optional<Ledger> m_ledger;
    std::vector<ShardQueue> m_shardQueues;
};

} // namespace sesame
