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
                                .fleetFile = makeFleetFile(limit, note)});
}

Timestamp timeAt(Duration time)
{
    return Timestamp(time);
}

ApplyRequest makeRequest(std::uint32_t limit, const std::string &id)
{
    return {.fleetFile = makeFleetFile(limit, id), .fileName = "f.toml", .applyId = id};
}

/*!
    Performs the run that \a options describe and logs its summary. Returns whether all invariants
    held.
*/
bool holdsInvariants(FleetRunOptions options)
{
    FleetRun run(options);
    const std::optional<std::string> violation = run.run();
    const std::string text = run.summary() + (violation ? ", violated: " + *violation : "");
    std::fprintf(stderr, "%s\n", text.c_str());
    return !violation;
}

} // namespace

// Guards against a node that returns to an older version after the store was restored from an older
// copy.
Test(fleetdocumenttracker, versionAndLimitNeverDecrease)
{
    FleetDocumentTracker tracker({.zone = "north"});
    cr_expect(tracker.adoptIfNewer(makeStored(5, 20), FleetSource::Store) == AdoptResult::Adopted);
    cr_expect(tracker.adoptIfNewer(makeStored(4, 20), FleetSource::Peer) == AdoptResult::Older);
    cr_expect_not(tracker.takeAlarm().has_value());
    cr_expect(tracker.adoptIfNewer(makeStored(4, 20), FleetSource::Store) == AdoptResult::Older);
    cr_expect(tracker.takeAlarm().has_value());
    cr_expect_not(tracker.takeAlarm().has_value());
    cr_expect_eq(tracker.fleetVersion(), 5);
    cr_expect(tracker.documentToRestore(4) == tracker.storedDocument());
    cr_expect_not(tracker.documentToRestore(5).has_value());
    cr_expect(tracker.adoptIfNewer(makeStored(6, 15), FleetSource::Store) == AdoptResult::Adopted);
    cr_expect_eq(tracker.capacityLimit(), 20);
    cr_expect_eq(tracker.config()->defaults.capacityLimit, 20);
}

// Guards against a damaged or unreadable document that replaces a valid one.
Test(fleetdocumenttracker, invalidDocumentsAreRefused)
{
    FleetDocumentTracker tracker({.zone = "north"});
    tracker.adoptIfNewer(makeStored(5, 20), FleetSource::Store);
    std::string damaged = makeStored(6, 20);
    damaged.back() = '#';
    const std::string unreadable = encodeFleetDocument({.version = 7, .fleetFile = "[fleet"});
    for (const std::string &stored : {damaged, unreadable, std::string("x\n\ny")}) {
        cr_expect(tracker.adoptIfNewer(stored, FleetSource::Store) == AdoptResult::Invalid);
        cr_expect(tracker.takeAlarm().has_value());
    }
    cr_expect_eq(tracker.fleetVersion(), 5);
}

// Guards against nodes that keep different contents of the same version.
Test(fleetdocumenttracker, storeResolvesDivergedContents)
{
    FleetDocumentTracker tracker({.zone = "north"});
    tracker.adoptIfNewer(makeStored(5, 20, "first"), FleetSource::Store);
    const std::string other = makeStored(5, 20, "second");
    cr_expect(tracker.adoptIfNewer(other, FleetSource::Peer) == AdoptResult::Diverged);
    cr_expect(tracker.takeAlarm().has_value());
    cr_expect(tracker.adoptIfNewer(other, FleetSource::Store) == AdoptResult::Adopted);
    cr_expect(tracker.storedDocument() == other);
}

// Guards against a node that serves while it is isolated, and against a node that stops serving
// during an outage of the store.
Test(fleetdocumenttracker, confirmationDependsOnRecentContacts)
{
    FleetDocumentTracker tracker({.zone = "north", .contactValidity = 4s});
    tracker.recordStoreContact(timeAt(0s), true);
    cr_expect_not(tracker.canServe(timeAt(0s)), "there is no document yet");
    tracker.adoptIfNewer(makeStored(5, 20), FleetSource::Store);
    cr_expect(tracker.confirmation(timeAt(4s)) == Confirmation::Confirmed);
    cr_expect(tracker.canServe(timeAt(4s)));
    cr_expect(tracker.confirmation(timeAt(5s)) == Confirmation::Isolated);
    cr_expect_not(tracker.canServe(timeAt(5s)));
    tracker.recordStoreContact(timeAt(5s), false);
    tracker.recordPeerMessage(timeAt(5s), "b", 5, false);
    cr_expect(tracker.confirmation(timeAt(6s)) == Confirmation::Unconfirmed);
    cr_expect(tracker.canServe(timeAt(6s)));
    tracker.recordPeerMessage(timeAt(6s), "c", 5, true);
    cr_expect(tracker.confirmation(timeAt(6s)) == Confirmation::Confirmed);
    tracker.removePeer("c");
    tracker.removePeer("b");
    cr_expect(tracker.confirmation(timeAt(6s)) == Confirmation::Isolated);
}

// Guards against a node that starts to serve with an older version than that of a peer.
Test(fleetdocumenttracker, startupWaitsForTheHighestKnownVersion)
{
    FleetDocumentTracker tracker({.zone = "north"});
    tracker.recordStoreContact(timeAt(0s), true);
    tracker.adoptIfNewer(makeStored(5, 20), FleetSource::Store);
    tracker.recordPeerMessage(timeAt(0s), "b", 7, false);
    tracker.recordPeerMessage(timeAt(0s), "c", 6, false);
    cr_expect(tracker.peerToPull(timeAt(1s)) == "b");
    cr_expect_not(tracker.canServe(timeAt(1s)));
    tracker.recordStoreContact(timeAt(9s), true);
    cr_expect_not(tracker.canServe(timeAt(9s)),
                  "b is unreachable now, and version 7 is still missing");
    tracker.adoptIfNewer(makeStored(7, 20), FleetSource::Peer);
    cr_expect(tracker.canServe(timeAt(9s)));
    tracker.recordPeerMessage(timeAt(9s), "c", 8, false);
    cr_expect(tracker.canServe(timeAt(9s)), "an update does not interrupt service");
}

// Guards against repeated requests to an unreachable peer instead of the others.
Test(fleetdocumenttracker, pullSkipsPeersThatFailed)
{
    FleetDocumentTracker tracker({.zone = "north"});
    tracker.recordPeerMessage(timeAt(0s), "b", 7, true);
    tracker.recordPeerMessage(timeAt(0s), "c", 7, true);
    tracker.recordPeerMessage(timeAt(0s), "d", 6, true);
    cr_expect(tracker.peerToPull(timeAt(0s)) == "b");
    tracker.recordPullFailure("b");
    cr_expect(tracker.peerToPull(timeAt(0s)) == "c");
    tracker.recordPullFailure("c");
    cr_expect(tracker.peerToPull(timeAt(0s)) == "d");
    tracker.recordPeerMessage(timeAt(1s), "b", 7, true);
    cr_expect(tracker.peerToPull(timeAt(1s)) == "b");
}

// Guards against a start with the document of a single peer that was itself isolated.
Test(fleetdocumenttracker, startupWithoutStoreWaitsForPeers)
{
    FleetDocumentTracker tracker({.zone = "north", .startupWait = 4s});
    tracker.setPeerCount(2);
    tracker.recordStoreContact(timeAt(0s), false);
    tracker.recordPeerMessage(timeAt(1s), "b", 5, false);
    tracker.adoptIfNewer(makeStored(5, 20), FleetSource::Peer);
    cr_expect_not(tracker.canServe(timeAt(4s)));
    tracker.recordPeerMessage(timeAt(9s), "b", 5, false);
    cr_expect_not(tracker.canServe(timeAt(9s)), "contact was lost in between");
    tracker.recordPeerMessage(timeAt(12s), "b", 5, false);
    cr_expect(tracker.canServe(timeAt(13s)));

    FleetDocumentTracker confirmed({.zone = "north", .startupWait = 4s});
    confirmed.setPeerCount(2);
    confirmed.recordStoreContact(timeAt(0s), true);
    confirmed.adoptIfNewer(makeStored(5, 20), FleetSource::Store);
    cr_expect_not(confirmed.canServe(timeAt(1s)));
    confirmed.recordPeerMessage(timeAt(1s), "b", 5, true);
    cr_expect(confirmed.canServe(timeAt(1s)));
}

// Guards against wrong results for operators: lowered limits, outdated files and missing
// differences.
Test(fleetpublisher, refusesInvalidReplacements)
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
    shards.fleetFile.replace(shards.fleetFile.find("entry_ttl_seconds"), 0, "claim_shards = 128\n");
    cr_expect_eq(publisher.apply(shards).code, ResultCode::InvalidSettings);
    ApplyRequest invalid = makeRequest(21, "f");
    invalid.fleetFile = "x = 1";
    cr_expect(publisher.apply(invalid).status == ApplyStatus::Refused);
    store.isUp = false;
    cr_expect(publisher.apply(makeRequest(21, "g")).status == ApplyStatus::Unavailable);
    cr_expect_eq(store.version, 1);
}

// Guards against two concurrent writes that are both reported as accepted.
Test(fleetpublisher, oneOfTwoConcurrentWritesIsAccepted)
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

// Guards against a wrong result for a write whose answer was lost.
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

// Guards against reporting a conflict for a write that took effect before another operator wrote,
// and against a definite result when the store cannot be read.
Test(fleetpublisher, lostAnswersDuringAnOutage)
{
    FakeFleetStore store;
    FleetPublisher<FakeFleetStore> other(store, [] {});
    store.nextWrite = FakeFleetStore::NextWrite::LoseAnswer;
    // The store becomes unavailable after the write. When it is available again, another operator
    // writes first.
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
    FleetPublisher<FakeFleetStore> publisherWithFewRetries(
            store, [] {}, 3);
    const ApplyResult unknown = publisherWithFewRetries.apply(makeRequest(20, "c"));
    cr_expect(unknown.status == ApplyStatus::Unknown);
    cr_expect_eq(unknown.code, ResultCode::StoreAnswerLost);
}

// Guards the invariant that an accepted configuration is in force on all nodes within 5 s and is
// never reverted, under all combinations of faults that the run injects.
Test(fleetrun, invariantsHoldOnFixedSeeds)
{
    for (const std::uint64_t seed : {1, 2, 3, 4})
        cr_expect(holdsInvariants({.seed = seed}), "seed %lu", static_cast<unsigned long>(seed));
}

// Performs SESAME_SEEDS runs with random seeds, or repeats the run with the seed SESAME_SEED.
Test(fleetrun, invariantsHoldOnNewSeeds, .timeout = 280)
{
    const char *singleSeed = std::getenv("SESAME_SEED");
    const char *count = std::getenv("SESAME_SEEDS");
    std::random_device device;
    for (int i = singleSeed ? 1 : count ? std::atoi(count) : 0; i > 0; --i) {
        const std::uint64_t seed = singleSeed ? std::strtoull(singleSeed, nullptr, 10) : device();
        cr_expect(holdsInvariants({.seed = seed}), "seed %lu", static_cast<unsigned long>(seed));
    }
}

// Guards against a simulation that finds no violation although nodes do not pull newer documents
// from peers, nodes do not write their document to a store that has an older one, or operators do
// not query the nodes for their highest version.
Test(fleetrun, runFailsWithoutPullOrRestoreOrNodeQuery)
{
    const auto anyFails = [](FleetRunOptions options) {
        for (options.seed = 1; options.seed <= 20; ++options.seed) {
            if (!holdsInvariants(options))
                return true;
        }
        return false;
    };
    cr_expect(anyFails({.pullFromPeers = false}));
    cr_expect(anyFails({.restoreStore = false}));
    cr_expect(anyFails({.askNodes = false}));
}
