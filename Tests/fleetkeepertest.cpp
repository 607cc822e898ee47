#include "Core/sesamecore.h"
#include "support/fakefleetstore.h"
#include "support/fleetfiles.h"
#include "support/fleetrun.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <random>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

std::string makeStored(std::uint64_t version, std::uint32_t limit, std::string_view note = {})
{
    return encodeFleetDocument({.version = version,
                                .capacityLimit = limit,
                                .applyId = "a" + std::to_string(version),
                                .text = makeFleetFile(limit, note)});
}

Timestamp at(Duration time)
{
    return Timestamp(time);
}

ApplyRequest makeRequest(std::uint32_t limit, const std::string &id)
{
    return {.text = makeFleetFile(limit, id), .fileName = "f.toml", .applyId = id};
}

/*!
    Runs \a seed and logs what was seen. Returns whether every invariant held.
*/
bool holds(FleetRunOptions options)
{
    FleetRun run(options);
    const std::optional<std::string> violation = run.run();
    const std::string text = run.summary() + (violation ? ", violated: " + *violation : "");
    std::fprintf(stderr, "%s\n", text.c_str());
    return !violation;
}

} // namespace

// Guards against a store that was restored from an older copy taking a node back.
Test(fleetkeeper, versionAndLimitNeverGoBack)
{
    FleetKeeper keeper({.zone = "north"});
    cr_expect(keeper.offer(makeStored(5, 20), FleetSource::Store) == OfferResult::Adopted);
    cr_expect(keeper.offer(makeStored(4, 20), FleetSource::Peer) == OfferResult::Older);
    cr_expect_not(keeper.takeAlarm().has_value());
    cr_expect(keeper.offer(makeStored(4, 20), FleetSource::Store) == OfferResult::Older);
    cr_expect(keeper.takeAlarm().has_value());
    cr_expect_not(keeper.takeAlarm().has_value());
    cr_expect_eq(keeper.fleetVersion(), 5);
    cr_expect(keeper.documentToRestore(4) == keeper.storedDocument());
    cr_expect_not(keeper.documentToRestore(5).has_value());
    cr_expect(keeper.offer(makeStored(6, 15), FleetSource::Store) == OfferResult::Adopted);
    cr_expect_eq(keeper.capacityLimit(), 20);
    cr_expect_eq(keeper.config()->defaults.capacityLimit, 20);
}

// Guards against a damaged or unreadable document replacing a good one.
Test(fleetkeeper, invalidDocumentsAreKeptOut)
{
    FleetKeeper keeper({.zone = "north"});
    keeper.offer(makeStored(5, 20), FleetSource::Store);
    std::string damaged = makeStored(6, 20);
    damaged.back() = '#';
    const std::string unreadable = encodeFleetDocument({.version = 7, .text = "[fleet"});
    for (const std::string &stored : {damaged, unreadable, std::string("x\n\ny")}) {
        cr_expect(keeper.offer(stored, FleetSource::Store) == OfferResult::Invalid);
        cr_expect(keeper.takeAlarm().has_value());
    }
    cr_expect_eq(keeper.fleetVersion(), 5);
}

// Guards against nodes that stay on two contents of one version.
Test(fleetkeeper, storeDecidesBetweenContentsOfOneVersion)
{
    FleetKeeper keeper({.zone = "north"});
    keeper.offer(makeStored(5, 20, "first"), FleetSource::Store);
    const std::string other = makeStored(5, 20, "second");
    cr_expect(keeper.offer(other, FleetSource::Peer) == OfferResult::Diverged);
    cr_expect(keeper.takeAlarm().has_value());
    cr_expect(keeper.offer(other, FleetSource::Store) == OfferResult::Adopted);
    cr_expect(keeper.storedDocument() == other);
}

// Guards against a node that serves while it is cut off, and one that stops during an outage.
Test(fleetkeeper, confirmationFollowsContacts)
{
    FleetKeeper keeper({.zone = "north", .freshness = 4s});
    keeper.recordStore(at(0s), true);
    cr_expect_not(keeper.mayServe(at(0s)), "no document yet");
    keeper.offer(makeStored(5, 20), FleetSource::Store);
    cr_expect(keeper.confirmation(at(4s)) == Confirmation::Confirmed);
    cr_expect(keeper.mayServe(at(4s)));
    cr_expect(keeper.confirmation(at(5s)) == Confirmation::Isolated);
    cr_expect_not(keeper.mayServe(at(5s)));
    keeper.recordStore(at(5s), false);
    keeper.recordPeer(at(5s), "b", 5, false);
    cr_expect(keeper.confirmation(at(6s)) == Confirmation::Unconfirmed);
    cr_expect(keeper.mayServe(at(6s)));
    keeper.recordPeer(at(6s), "c", 5, true);
    cr_expect(keeper.confirmation(at(6s)) == Confirmation::Confirmed);
    keeper.forgetPeer("c");
    keeper.forgetPeer("b");
    cr_expect(keeper.confirmation(at(6s)) == Confirmation::Isolated);
}

// Guards against a node that starts to serve with a version that a peer has replaced.
Test(fleetkeeper, startWaitsForTheHighestVersionHeardOf)
{
    FleetKeeper keeper({.zone = "north"});
    keeper.recordStore(at(0s), true);
    keeper.offer(makeStored(5, 20), FleetSource::Store);
    keeper.recordPeer(at(0s), "b", 7, false);
    keeper.recordPeer(at(0s), "c", 6, false);
    cr_expect(keeper.peerToPull(at(1s)) == "b");
    cr_expect_not(keeper.mayServe(at(1s)));
    keeper.recordStore(at(9s), true);
    cr_expect_not(keeper.mayServe(at(9s)), "b is cut off now, and version 7 is still missing");
    keeper.offer(makeStored(7, 20), FleetSource::Peer);
    cr_expect(keeper.mayServe(at(9s)));
    keeper.recordPeer(at(9s), "c", 8, false);
    cr_expect(keeper.mayServe(at(9s)), "an update does not interrupt service");
}

// Guards against asking a peer that was cut off over and over instead of the others.
Test(fleetkeeper, pullMovesOnAfterAFailure)
{
    FleetKeeper keeper({.zone = "north"});
    keeper.recordPeer(at(0s), "b", 7, true);
    keeper.recordPeer(at(0s), "c", 7, true);
    keeper.recordPeer(at(0s), "d", 6, true);
    cr_expect(keeper.peerToPull(at(0s)) == "b");
    keeper.recordPullFailure("b");
    cr_expect(keeper.peerToPull(at(0s)) == "c");
    keeper.recordPullFailure("c");
    cr_expect(keeper.peerToPull(at(0s)) == "d");
    keeper.recordPeer(at(1s), "b", 7, true);
    cr_expect(keeper.peerToPull(at(1s)) == "b");
}

// Guards against a start on the word of a single peer that was itself cut off.
Test(fleetkeeper, startWithoutStoreListensToPeers)
{
    FleetKeeper keeper({.zone = "north", .startWait = 4s});
    keeper.setPeerCount(2);
    keeper.recordStore(at(0s), false);
    keeper.recordPeer(at(1s), "b", 5, false);
    keeper.offer(makeStored(5, 20), FleetSource::Peer);
    cr_expect_not(keeper.mayServe(at(4s)));
    keeper.recordPeer(at(9s), "b", 5, false);
    cr_expect_not(keeper.mayServe(at(9s)), "contact was lost in between");
    keeper.recordPeer(at(12s), "b", 5, false);
    cr_expect(keeper.mayServe(at(13s)));

    FleetKeeper confirmed({.zone = "north", .startWait = 4s});
    confirmed.setPeerCount(2);
    confirmed.recordStore(at(0s), true);
    confirmed.offer(makeStored(5, 20), FleetSource::Store);
    cr_expect_not(confirmed.mayServe(at(1s)));
    confirmed.recordPeer(at(1s), "b", 5, true);
    cr_expect(confirmed.mayServe(at(1s)));
}

// Guards against the wrong verdict for operators: limits, old files, and what is shown to them.
Test(fleetpublisher, refusesWhatMustNotFollow)
{
    FakeFleetStore store;
    FleetPublisher<FakeFleetStore> publisher(store, [] {});
    cr_expect_eq(publisher.apply(makeRequest(20, "a")).version, 1);
    cr_expect(publisher.apply(makeRequest(20, "a")).status == ApplyStatus::AlreadyInForce);
    const ApplyResult lower = publisher.apply(makeRequest(19, "b"));
    cr_expect(lower.status == ApplyStatus::Refused);
    cr_expect_eq(lower.code, ResultCode::CapacityLimitLowered);
    ApplyRequest old = makeRequest(21, "c");
    old.baseVersion = 7;
    const ApplyResult outdated = publisher.apply(old);
    cr_expect(outdated.status == ApplyStatus::Conflict);
    cr_expect_eq(outdated.code, ResultCode::ConfigurationOutdated);
    cr_expect(outdated.difference == "- capacity_limit = 20 # a\n+ capacity_limit = 21 # c\n", "%s",
              outdated.difference.c_str());
    ApplyRequest restored = makeRequest(21, "d");
    restored.highestNodeVersion = 2;
    cr_expect_eq(publisher.apply(restored).code, ResultCode::ConfigurationOutdated);
    ApplyRequest shards = makeRequest(21, "e");
    shards.text.replace(shards.text.find("entry_ttl_seconds"), 0, "claim_shards = 128\n");
    cr_expect_eq(publisher.apply(shards).code, ResultCode::InvalidSettings);
    ApplyRequest invalid = makeRequest(21, "f");
    invalid.text = "x = 1";
    cr_expect(publisher.apply(invalid).status == ApplyStatus::Refused);
    store.isUp = false;
    cr_expect(publisher.apply(makeRequest(21, "g")).status == ApplyStatus::Unavailable);
    cr_expect_eq(store.version, 1);
}

// Guards against two operators who are both told that their file is in force.
Test(fleetpublisher, oneOfTwoRacingOperatorsWins)
{
    FakeFleetStore store;
    FleetPublisher<FakeFleetStore> publisher(store, [] {});
    publisher.apply(makeRequest(20, "a"));
    ApplyResult first;
    store.beforeWrite = [&] {
        first = publisher.apply(makeRequest(30, "b"));
    };
    const ApplyResult second = publisher.apply(makeRequest(25, "c"));
    cr_expect(first.status == ApplyStatus::Accepted);
    cr_expect(second.status == ApplyStatus::Conflict);
    cr_expect_eq(second.code, ResultCode::ConfigurationConflict);
    cr_expect_eq(decodeFleetDocument(store.value)->capacityLimit, 30);
}

// Guards against a wrong verdict on a write whose answer was lost.
Test(fleetpublisher, lostAnswersAreReadBack)
{
    using Next = FakeFleetStore::NextWrite;
    for (const Next next : {Next::LoseAnswer, Next::LoseRequest, Next::Delay}) {
        FakeFleetStore store;
        FleetPublisher<FakeFleetStore> publisher(store, [&] {
            store.deliverDelayed();
        });
        store.nextWrite = next;
        cr_expect(publisher.apply(makeRequest(20, "a")).status == ApplyStatus::Accepted);
        cr_expect_eq(store.version, 1);
    }
}

// Guards against a conflict reported for a write that took effect and was then built upon, and
// against a verdict without knowledge.
Test(fleetpublisher, lostAnswersDuringAnOutage)
{
    FakeFleetStore store;
    FleetPublisher<FakeFleetStore> other(store, [] {});
    store.nextWrite = FakeFleetStore::NextWrite::LoseAnswer;
    // The store goes down after the write and comes back after another operator has written.
    int waits = 0;
    FleetPublisher<FakeFleetStore> publisher(store, [&] {
        store.isUp = true;
        if (++waits == 1)
            cr_expect(other.apply(makeRequest(20, "b")).status == ApplyStatus::Accepted);
    });
    store.afterWrite = [&] {
        store.isUp = false;
    };
    const ApplyResult result = publisher.apply(makeRequest(20, "a"));
    cr_expect(result.status == ApplyStatus::Accepted);
    cr_expect_eq(result.version, 1);
    cr_expect_eq(waits, 1);

    store.nextWrite = FakeFleetStore::NextWrite::LoseAnswer;
    store.afterWrite = [&] {
        store.isUp = false;
    };
    FleetPublisher<FakeFleetStore> impatient(
            store, [] {}, 3);
    const ApplyResult unknown = impatient.apply(makeRequest(20, "c"));
    cr_expect(unknown.status == ApplyStatus::Unknown);
    cr_expect_eq(unknown.code, ResultCode::StoreAnswerLost);
}

// Guards the promise that an accepted configuration is in force everywhere within 5 s and is
// never reverted, under every combination of faults that the run knows.
Test(fleetrun, invariantsHoldOnFixedSeeds)
{
    for (const std::uint64_t seed : {1, 2, 3, 4})
        cr_expect(holds({.seed = seed}), "seed %lu", static_cast<unsigned long>(seed));
}

// Runs SESAME_SEEDS new seeds, or the single seed SESAME_SEED again.
Test(fleetrun, invariantsHoldOnNewSeeds, .timeout = 280)
{
    const char *again = std::getenv("SESAME_SEED");
    const char *count = std::getenv("SESAME_SEEDS");
    std::random_device device;
    for (int i = again ? 1 : count ? std::atoi(count) : 0; i > 0; --i) {
        const std::uint64_t seed = again ? std::strtoull(again, nullptr, 10) : device();
        cr_expect(holds({.seed = seed}), "seed %lu", static_cast<unsigned long>(seed));
    }
}

// Guards against a run that cannot see what a mechanism prevents.
Test(fleetrun, missingMechanismsAreDetected)
{
    const auto anyFails = [](FleetRunOptions options) {
        for (options.seed = 1; options.seed <= 20; ++options.seed) {
            if (!holds(options))
                return true;
        }
        return false;
    };
    cr_expect(anyFails({.pullFromPeers = false}));
    cr_expect(anyFails({.restoreStore = false}));
    cr_expect(anyFails({.askNodes = false}));
}
