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

// Guards against a write of its own for each of several threads that wait for one shard.
Test(claimcommitter, waitingClaimsShareOneWrite)
{
    constexpr int threads = 8;
    FakeStore store;
    const FakeClock clock;
    ClaimCommitter<FakeStore, FakeClock> committer(store, clock, nodeOptions(1));
    cr_assert(committer.lookup(claimKey("account", "k")).status == LookupStatus::NotClaimed);
    store.between = [] {
        std::this_thread::sleep_for(20ms);
    };
    std::atomic<int> granted = 0;
    std::vector<std::thread> callers;
    callers.reserve(threads);
    const std::string key = claimKey("account", "same");
    for (int n = 0; n < threads; ++n) {
        callers.emplace_back([&] {
            ClaimRequest request {.key = key, .fingerprint = "f"};
            granted += committer.claim(request).status == ClaimStatus::Granted ? 1 : 0;
        });
    }
    for (std::thread &it : callers)
        it.join();
    cr_expect_eq(granted.load(), 1);
    cr_expect_leq(store.writes, 4);
}
