#include "Node/sesamenode.h"
#include "support/fakestore.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

using Ledger = ClaimLedger<FakeStore, FakeClock>;

ClaimLedgerOptions nodeOptions(std::uint64_t incarnation)
{
    ClaimLedgerOptions options;
    options.node = "node-" + std::to_string(incarnation);
    options.incarnation = incarnation;
    options.shardCount = 4;
    return options;
}

ClaimRequest makeRequest(std::string_view key, std::string_view body = "body")
{
    return {.key = computeClaimKey("account", key),
            .fingerprint = computeCallFingerprint({"/dispatch", body})};
}

RecordedAnswer makeAnswer(std::string body)
{
    RecordedAnswer answer;
    answer.outcome = Outcome::Complete;
    answer.code = ResultCode::Ok;
    answer.httpStatus = 201;
    answer.contentType = "application/json";
    answer.body = std::move(body);
    return answer;
}

//! The ledgers of two nodes on one store.
struct TwoNodes
{
    FakeStore store;
    FakeClock clock;
    Ledger a {store, clock, nodeOptions(1)};
    Ledger b {store, clock, nodeOptions(2)};
};

} // namespace

// Guards against a repeated call through another node that is executed again or receives a
// different answer.
Test(claimledger, repeatReceivesTheRecordedAnswer)
{
    TwoNodes nodes;
    const ClaimResult first = nodes.a.claim(makeRequest("k"));
    cr_assert(first.status == ClaimStatus::Granted);
    cr_expect(nodes.b.claim(makeRequest("k")).status == ClaimStatus::InProgress);
    cr_expect(nodes.a.recordOutcome(first.claim, makeAnswer("booked")) == RecordStatus::Recorded);
    const ClaimResult repeat = nodes.b.claim(makeRequest("k"));
    cr_assert(repeat.status == ClaimStatus::CompletedEarlier);
    cr_expect(repeat.answer.body == "booked");
    cr_expect(repeat.answer.httpStatus == 201);
    cr_expect(nodes.b.claim(makeRequest("k", "other")).status == ClaimStatus::KeyReused);
}

// Guards against granting a claim twice after the answer to the first write is lost.
Test(claimledger, lostAnswerIsReadBack)
{
    TwoNodes nodes;
    int writes = 0;
    nodes.store.chooseFault = [&writes](bool isWrite) {
        return isWrite && ++writes == 1 ? StoreFault::AnswerLost : StoreFault::None;
    };
    cr_expect(nodes.a.claim(makeRequest("k")).status == ClaimStatus::Granted);
    cr_expect(nodes.b.claim(makeRequest("k")).status == ClaimStatus::InProgress);
    cr_expect_eq(writes, 1);
}

// Guards against a call that is sent without a durable claim, and against a key that stays blocked
// by a claim that was not granted.
Test(claimledger, abandonedClaimIsRemoved)
{
    TwoNodes nodes;
    bool down = false;
    nodes.store.chooseFault = [&down](bool isWrite) {
        if (down)
            return StoreFault::Refused;
        down = isWrite;
        return isWrite ? StoreFault::AnswerLost : StoreFault::None;
    };
    cr_expect(nodes.a.claim(makeRequest("k")).status == ClaimStatus::StoreUnavailable);
    nodes.store.chooseFault = nullptr;
    cr_expect(nodes.b.claim(makeRequest("k")).status == ClaimStatus::InProgress);
    const std::uint32_t shard = nodes.a.shardOf(makeRequest("k").key);
    cr_expect(nodes.a.needsFlush(shard));
    cr_expect(nodes.a.flush(shard));
    cr_expect(nodes.b.claim(makeRequest("k")).status == ClaimStatus::Granted);
}

// Guards against losing an outcome because the store was unavailable when it became known.
Test(claimledger, outcomeIsWrittenAfterAnOutage)
{
    TwoNodes nodes;
    const ClaimResult first = nodes.a.claim(makeRequest("k"));
    nodes.store.chooseFault = [](bool) {
        return StoreFault::Refused;
    };
    cr_expect(nodes.a.recordOutcome(first.claim, makeAnswer("booked")) == RecordStatus::Pending);
    cr_expect(nodes.b.claim(makeRequest("k")).status == ClaimStatus::StoreUnavailable);
    nodes.store.chooseFault = nullptr;
    cr_expect(nodes.a.flush(nodes.a.shardOf(first.claim.key)));
    cr_expect(nodes.b.claim(makeRequest("k")).answer.body == "booked");
}

// Guards against a call sent after its deadline by a node that was paused between the claim and the
// send, or whose instance was suspended and its monotonic clock stopped.
Test(claimledger, claimCannotBeSentAfterItsDeadline)
{
    TwoNodes nodes;
    const ClaimResult result = nodes.a.claim(makeRequest("k"));
    cr_expect(nodes.a.canStillSend(result.claim, nodes.clock.now()));
    const Timestamp frozenNow = nodes.clock.now();
    nodes.clock.advance(2s);
    cr_expect_not(nodes.a.canStillSend(result.claim, nodes.clock.now()));
    cr_expect_not(nodes.a.canStillSend(result.claim, frozenNow));
}

// Guards against a key that stays blocked although its call was definitely not sent.
Test(claimledger, notRunOutcomeReleasesTheKey)
{
    TwoNodes nodes;
    const ClaimResult first = nodes.a.claim(makeRequest("k"));
    RecordedAnswer notRun;
    notRun.outcome = Outcome::NotRun;
    nodes.a.recordOutcome(first.claim, notRun);
    const ClaimResult second = nodes.b.claim(makeRequest("k"));
    cr_assert(second.status == ClaimStatus::Granted);
    // A repeated report must not release the claim of the next attempt.
    nodes.a.recordOutcome(first.claim, notRun);
    cr_expect(nodes.a.claim(makeRequest("k")).status == ClaimStatus::InProgress);
}

// Guards against an outcome that stays unknown although the backend server knows it, and against
// treating a call as not executed that may still be in transit.
Test(claimledger, statusLookupDeterminesTheOutcome)
{
    TwoNodes nodes;
    const ClaimRequest request = makeRequest("k");
    cr_assert(nodes.a.claim(request).status == ClaimStatus::Granted);
    cr_expect(nodes.b.lookup(request.key).status == LookupStatus::InProgress);
    nodes.clock.advance(1min);
    cr_expect(nodes.b.applyStatusLookup(request.key, false).status == LookupStatus::Unknown);
    cr_expect(nodes.b.claim(request).status == ClaimStatus::Unknown);
    const LookupResult resolved = nodes.b.applyStatusLookup(request.key, true);
    cr_expect(resolved.status == LookupStatus::Completed);
    cr_expect(resolved.answer.fromStatusLookup);
    cr_expect(nodes.a.claim(request).status == ClaimStatus::CompletedEarlier);
    cr_expect(nodes.a.lookup(computeClaimKey("other", "k")).status == LookupStatus::NotClaimed);
}

// Guards against a shard that exceeds the size limit of the object service, and against outcomes
// that cannot be recorded because the shard is full.
Test(claimledger, fullShardRefusesClaimsAndKeepsAnswers)
{
    FakeStore store;
    FakeClock clock;
    ClaimLedgerOptions options = nodeOptions(1);
    options.shardCount = 1;
    options.retention = 1h;
    options.shardLimitBytes = 10'000;
    options.answerHeadroomBytes = 4'000;
    Ledger ledger(store, clock, options);
    std::vector<Claim> claims;
    ClaimResult result;
    for (int n = 0; n < 100; ++n) {
        result = ledger.claim(makeRequest(std::to_string(n)));
        if (result.status != ClaimStatus::Granted)
            break;
        claims.push_back(result.claim);
    }
    cr_expect(result.status == ClaimStatus::ShardFull);
    cr_expect_gt(claims.size(), 20);
    for (const Claim &it : claims)
        cr_expect(ledger.recordOutcome(it, makeAnswer(std::string(500, 'x')))
                  == RecordStatus::Recorded);
    cr_expect_leq(store.read("ledger/000").value.size(), options.shardLimitBytes);
    cr_expect_not(ledger.claim(makeRequest("0")).answer.bodyOmitted);
    cr_expect(ledger.lookup(claims.back().key).answer.bodyOmitted);
    clock.advance(2h);
    cr_expect(ledger.claim(makeRequest("new")).status == ClaimStatus::Granted);
}

// Guards against overwriting claims that a newer software version wrote in another format.
Test(claimledger, unreadableShardIsNotOverwritten)
{
    TwoNodes nodes;
    const ClaimRequest request = makeRequest("k");
    const std::string name = claimShardObjectKey(nodes.a.shardOf(request.key));
    nodes.store.writeIf(name, "not a shard", 0);
    cr_expect(nodes.a.claim(request).status == ClaimStatus::StoreUnavailable);
    cr_expect(nodes.store.read(name).value == "not a shard");
}

// Guards against a changed setting that assigns keys to other shards, where their claims would not
// be found.
Test(claimledger, shardCountIsSetByTheFirstNode)
{
    FakeStore store;
    cr_expect(readOrCreateShardCount(store, 64) == 64);
    cr_expect(readOrCreateShardCount(store, 128) == 64);
    store.chooseFault = [](bool) {
        return StoreFault::Refused;
    };
    cr_expect_not(readOrCreateShardCount(store, 64).has_value());
}

// Guards against separate writes for threads that wait for the same shard.
Test(claimcommitter, concurrentClaimsShareAWrite)
{
    constexpr int threads = 8;
    FakeStore store;
    const FakeClock clock;
    ClaimLedgerOptions options = nodeOptions(1);
    options.shardCount = 1;
    ClaimCommitter<FakeStore, FakeClock> committer(store, clock, options);
    cr_assert(committer.lookup(computeClaimKey("account", "k")).status == LookupStatus::NotClaimed);
    const std::uint64_t writesBefore = store.writes;
    store.onInterleave = [] {
        std::this_thread::sleep_for(20ms);
    };
    std::atomic<int> granted = 0;
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (int n = 0; n < threads; ++n) {
        callers.emplace_back([&committer, &granted, n] {
            // Each key is used by two threads.
            const ClaimResult result = committer.claim(makeRequest(std::to_string(n / 2)));
            granted += result.status == ClaimStatus::Granted ? 1 : 0;
        });
    }
    for (std::thread &it : callers)
        it.join();
    cr_expect_eq(granted.load(), threads / 2);
    cr_expect_leq(store.writes - writesBefore, threads / 2);
}

// Guards against a node that stops before its outcomes are stored.
Test(claimcommitter, flushReportsWaitingOutcomes)
{
    FakeStore store;
    const FakeClock clock;
    ClaimCommitter<FakeStore, FakeClock> committer(store, clock, nodeOptions(1));
    cr_expect(committer.flush());
    const ClaimResult result = committer.claim(makeRequest("k"));
    store.chooseFault = [](bool) {
        return StoreFault::Refused;
    };
    cr_expect(committer.recordOutcome(result.claim, makeAnswer("a")) == RecordStatus::Pending);
    cr_expect_not(committer.flush());
    store.chooseFault = nullptr;
    cr_expect(committer.flush());
    cr_expect(committer.claim(makeRequest("k")).status == ClaimStatus::CompletedEarlier);
}
