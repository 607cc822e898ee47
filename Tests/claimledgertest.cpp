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
    options.shards = 4;
    return options;
}

ClaimRequest makeRequest(std::string_view key, std::string_view body = "body")
{
    return {.key = claimKey("account", key), .fingerprint = callFingerprint({"/dispatch", body})};
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

//! Two nodes on one store.
struct Pair
{
    FakeStore store;
    FakeClock clock;
    Ledger a {store, clock, nodeOptions(1)};
    Ledger b {store, clock, nodeOptions(2)};
};

} // namespace

// Guards against a repeat through another node that runs the call again or gets another answer.
Test(claimledger, repeatGetsTheRecordedAnswer)
{
    Pair pair;
    const ClaimResult first = pair.a.claim(makeRequest("k"));
    cr_assert(first.status == ClaimStatus::Granted);
    cr_expect(pair.b.claim(makeRequest("k")).status == ClaimStatus::InProgress);
    cr_expect(pair.a.recordOutcome(first.claim, makeAnswer("booked")) == RecordStatus::Recorded);
    const ClaimResult repeat = pair.b.claim(makeRequest("k"));
    cr_assert(repeat.status == ClaimStatus::CompletedEarlier);
    cr_expect(repeat.answer.body == "booked");
    cr_expect(repeat.answer.httpStatus == 201);
    cr_expect(pair.b.claim(makeRequest("k", "other")).status == ClaimStatus::KeyReused);
}

// Guards against two grants when the answer to the first write is lost.
Test(claimledger, lostAnswerIsReadBack)
{
    Pair pair;
    int writes = 0;
    pair.store.fault = [&writes](bool isWrite) {
        return isWrite && ++writes == 1 ? StoreFault::LostAfter : StoreFault::None;
    };
    cr_expect(pair.a.claim(makeRequest("k")).status == ClaimStatus::Granted);
    cr_expect(pair.b.claim(makeRequest("k")).status == ClaimStatus::InProgress);
    cr_expect_eq(writes, 1);
}

// Guards against sending without a durable claim, and against a key that stays blocked by it.
Test(claimledger, abandonedClaimIsRemoved)
{
    Pair pair;
    bool down = false;
    pair.store.fault = [&down](bool isWrite) {
        if (down)
            return StoreFault::Refused;
        down = isWrite;
        return isWrite ? StoreFault::LostAfter : StoreFault::None;
    };
    cr_expect(pair.a.claim(makeRequest("k")).status == ClaimStatus::StoreUnavailable);
    pair.store.fault = nullptr;
    cr_expect(pair.b.claim(makeRequest("k")).status == ClaimStatus::InProgress);
    const std::uint32_t shard = pair.a.shardOf(makeRequest("k").key);
    cr_expect(pair.a.needsFlush(shard));
    cr_expect(pair.a.flush(shard));
    cr_expect(pair.b.claim(makeRequest("k")).status == ClaimStatus::Granted);
}

// Guards against an outcome that is forgotten because the store was down when it was known.
Test(claimledger, outcomeIsWrittenAfterAnOutage)
{
    Pair pair;
    const ClaimResult first = pair.a.claim(makeRequest("k"));
    pair.store.fault = [](bool) {
        return StoreFault::Refused;
    };
    cr_expect(pair.a.recordOutcome(first.claim, makeAnswer("booked")) == RecordStatus::Pending);
    cr_expect(pair.b.claim(makeRequest("k")).status == ClaimStatus::StoreUnavailable);
    pair.store.fault = nullptr;
    cr_expect(pair.a.flush(pair.a.shardOf(first.claim.key)));
    cr_expect(pair.b.claim(makeRequest("k")).answer.body == "booked");
}

// Guards against a call sent by a node that was frozen between the claim and the send, or whose
// instance was suspended with its monotonic clock.
Test(claimledger, deadlineEndsTheRightToSend)
{
    Pair pair;
    const ClaimResult result = pair.a.claim(makeRequest("k"));
    cr_expect(pair.a.mayStillSend(result.claim, pair.clock.now()));
    const Timestamp frozenNow = pair.clock.now();
    pair.clock.advance(2s);
    cr_expect_not(pair.a.mayStillSend(result.claim, pair.clock.now()));
    cr_expect_not(pair.a.mayStillSend(result.claim, frozenNow));
}

// Guards against a key that stays blocked although its call was certainly not sent.
Test(claimledger, notRunReleasesTheKey)
{
    Pair pair;
    const ClaimResult first = pair.a.claim(makeRequest("k"));
    RecordedAnswer notRun;
    notRun.outcome = Outcome::NotRun;
    pair.a.recordOutcome(first.claim, notRun);
    const ClaimResult second = pair.b.claim(makeRequest("k"));
    cr_assert(second.status == ClaimStatus::Granted);
    // A late repetition must not release the claim of the next attempt.
    pair.a.recordOutcome(first.claim, notRun);
    cr_expect(pair.a.claim(makeRequest("k")).status == ClaimStatus::InProgress);
}

// Guards against an unknown outcome that stays unknown although the backend server knows it, and
// against settling a call as not executed that may still be on its way.
Test(claimledger, statusLookupSettles)
{
    Pair pair;
    const ClaimRequest request = makeRequest("k");
    cr_assert(pair.a.claim(request).status == ClaimStatus::Granted);
    cr_expect(pair.b.lookup(request.key).status == LookupStatus::InProgress);
    pair.clock.advance(1min);
    cr_expect(pair.b.settle(request.key, false).status == LookupStatus::Unknown);
    cr_expect(pair.b.claim(request).status == ClaimStatus::Unknown);
    const LookupResult settled = pair.b.settle(request.key, true);
    cr_expect(settled.status == LookupStatus::Completed);
    cr_expect(settled.answer.fromStatusLookup);
    cr_expect(pair.a.claim(request).status == ClaimStatus::CompletedEarlier);
    cr_expect(pair.a.lookup(claimKey("other", "k")).status == LookupStatus::NotClaimed);
}

// Guards against an object above the service's limit, and against answers that no longer fit.
Test(claimledger, fullShardRefusesClaimsAndKeepsAnswers)
{
    FakeStore store;
    FakeClock clock;
    ClaimLedgerOptions options = nodeOptions(1);
    options.shards = 1;
    options.retention = 1h;
    options.shardLimitBytes = 10'000;
    options.answerReserveBytes = 4'000;
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

// Guards against dropping claims of a format that a newer version wrote.
Test(claimledger, unreadableShardIsNotOverwritten)
{
    Pair pair;
    const ClaimRequest request = makeRequest("k");
    const std::string name = claimShardName(pair.a.shardOf(request.key));
    pair.store.writeIf(name, "not a shard", 0);
    cr_expect(pair.a.claim(request).status == ClaimStatus::StoreUnavailable);
    cr_expect(pair.store.read(name).value == "not a shard");
}

// Guards against a changed setting that moves keys to other shards, where their claims are not
// found.
Test(claimledger, shardCountIsFixedByTheFirstNode)
{
    FakeStore store;
    cr_expect(agreeOnShardCount(store, 64) == 64);
    cr_expect(agreeOnShardCount(store, 128) == 64);
    store.fault = [](bool) {
        return StoreFault::Refused;
    };
    cr_expect_not(agreeOnShardCount(store, 64).has_value());
}

// Guards against a separate write for each of several threads that wait for one shard.
Test(claimcommitter, waitingClaimsShareWrites)
{
    constexpr int threads = 8;
    FakeStore store;
    const FakeClock clock;
    ClaimLedgerOptions options = nodeOptions(1);
    options.shards = 1;
    ClaimCommitter<FakeStore, FakeClock> committer(store, clock, options);
    cr_assert(committer.lookup(claimKey("account", "k")).status == LookupStatus::NotClaimed);
    const std::uint64_t writesBefore = store.writes;
    store.between = [] {
        std::this_thread::sleep_for(20ms);
    };
    std::atomic<int> granted = 0;
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (int n = 0; n < threads; ++n) {
        callers.emplace_back([&committer, &granted, n] {
            // Every key is used by two threads.
            const ClaimResult result = committer.claim(makeRequest(std::to_string(n / 2)));
            granted += result.status == ClaimStatus::Granted ? 1 : 0;
        });
    }
    for (std::thread &it : callers)
        it.join();
    cr_expect_eq(granted.load(), threads / 2);
    cr_expect_leq(store.writes - writesBefore, threads / 2);
}
