#include "Core/objectreplica.h"
#include "Core/storerevision.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

ReplicaObject makeObject(const std::string &name, std::int64_t revision)
{
    return {.name = name,
            .revision = revision,
            .content = "{\"revision\":" + std::to_string(revision) + "}"};
}

ReplicaObject makeRemoval(const std::string &name)
{
    return {.name = name, .removed = true};
}

bool contains(const ObjectReplica &replica, const std::string &name)
{
    const wire::ReplicaUpdate state = replica.changesSince(-1, Timestamp {1h});
    return std::any_of(state.objects.begin(), state.objects.end(), [&](const auto &object) {
        return object.name == name && !object.removed;
    });
}

} // namespace

// Guards against an engine that stays in use after it left the list while the store is available.
Test(objectreplica, missingObjectIsRemovedAtOnce)
{
    ObjectReplica replica;
    const Timestamp now {1h};
    const std::vector<ReplicaObject> both {makeObject("a", 3), makeObject("b", 4)};
    cr_expect_eq(replica.applyListing(both, 10, now, std::nullopt).size(), 2U);
    const std::vector<ReplicaObject> one {makeObject("b", 4)};
    const auto changed = replica.applyListing(one, 12, now, std::nullopt);
    cr_assert_eq(changed.size(), 1U);
    cr_expect(changed[0].removed);
    cr_expect_str_eq(changed[0].name.c_str(), "a");
    cr_expect_eq(replica.revision(), 12);
}

// Guards against removing all engines whose entries expired during an outage of the store, and
// against keeping engines whose entries never return.
Test(objectreplica, lapsedObjectsAreKeptForAShortTime)
{
    ObjectReplica replica;
    const Timestamp now {1h};
    const std::vector<ReplicaObject> both {makeObject("a", 3), makeObject("b", 4)};
    replica.applyListing(both, 10, now, std::nullopt);
    replica.applyListing({}, 20, now, now + 2s);
    // A later list must not extend the grace time.
    replica.applyListing({}, 21, now, now + 3s);
    cr_expect(replica.removeExpired(now + 1900ms).empty());
    const std::vector<ReplicaObject> returned {makeObject("a", 22)};
    replica.applyChanges(returned, 22, now, now + 2s);
    const auto removed = replica.removeExpired(now + 2s);
    cr_assert_eq(removed.size(), 1U);
    cr_expect_str_eq(removed[0].name.c_str(), "b");
    cr_expect(contains(replica, "a"));
}

// Guards against a replica that ignores what is written after the store was restored, and against
// an older copy that takes the place of what is known before its writers wrote it again.
Test(objectreplica, changesOfALaterEraCount)
{
    const auto inEra = [](std::uint64_t era, std::uint64_t number) {
        return StoreRevision {era, number}.ordinal();
    };
    const Timestamp now {1h};
    ObjectReplica replica;
    const std::vector<ReplicaObject> first {makeObject("a", inEra(1, 3)),
                                            makeObject("b", inEra(1, 4)),
                                            makeObject("c", inEra(1, 5))};
    replica.applyListing(first, inEra(1, 6), now, std::nullopt);
    const std::vector<ReplicaObject> later {makeObject("a", inEra(1, 7)),
                                            makeObject("b", inEra(1, 8)), makeRemoval("c")};
    replica.applyChanges(later, inEra(1, 9), now, std::nullopt);
    ObjectReplica other;
    other.applyUpdate(replica.changesSince(-1, now), now);

    // The copy has the first version of "a" and "c"; "b" was written again meanwhile.
    const std::vector<ReplicaObject> copy {makeObject("a", inEra(2, 3)),
                                           makeObject("b", inEra(2, 7)),
                                           makeObject("c", inEra(2, 5))};
    const auto changed = replica.applyListing(copy, inEra(2, 7), now, now + 2s);
    cr_assert_eq(changed.size(), 1U);
    cr_expect_str_eq(changed[0].name.c_str(), "b");
    cr_expect_not(contains(replica, "c"));
    cr_expect_eq(replica.revision(), inEra(1, 9), "others must not believe that they know all");
    const std::vector<ReplicaObject> again {makeObject("a", inEra(2, 8))};
    cr_expect_eq(replica.applyChanges(again, inEra(2, 8), now, now + 2s).size(), 1U);
    cr_expect(replica.removeExpired(now + 1900ms).empty());
    const auto copied = replica.removeExpired(now + 2s);
    cr_assert_eq(copied.size(), 1U);
    cr_expect_str_eq(copied[0].name.c_str(), "c");
    cr_expect_not(copied[0].removed);
    other.applyUpdate(replica.changesSince(other.revision(), now), now);
    for (const char *name : {"a", "b", "c"})
        cr_expect(contains(other, name), "%s", name);
    cr_expect_eq(other.revision(), replica.revision());
}

// Guards against objects of an older copy that come back although they were removed from it.
Test(objectreplica, removedObjectsOfACopyStayRemoved)
{
    const auto inEra = [](std::uint64_t era, std::uint64_t number) {
        return StoreRevision {era, number}.ordinal();
    };
    const Timestamp now {1h};
    ObjectReplica replica;
    const std::vector<ReplicaObject> first {makeObject("a", inEra(1, 3)),
                                            makeObject("b", inEra(1, 4))};
    replica.applyListing(first, inEra(1, 6), now, std::nullopt);
    const std::vector<ReplicaObject> later {makeObject("a", inEra(1, 7)), makeRemoval("b")};
    replica.applyChanges(later, inEra(1, 8), now, std::nullopt);
    const std::vector<ReplicaObject> copy {makeObject("a", inEra(2, 3)),
                                           makeObject("b", inEra(2, 4))};
    cr_expect(replica.applyListing(copy, inEra(2, 6), now, now + 2s).empty());
    const std::vector<ReplicaObject> removal {makeRemoval("a")};
    replica.applyChanges(removal, inEra(2, 7), now, now + 2s);
    replica.applyListing({}, inEra(2, 8), now, now + 2s);
    replica.removeExpired(now + 2s);
    cr_expect_not(contains(replica, "a"));
    cr_expect_not(contains(replica, "b"));
    cr_expect_geq(replica.revision(), inEra(2, 7));
}

// Guards against a node that takes over changes from a replica which withholds a removal for the
// grace time, believes itself complete, and never learns of the removal.
Test(objectreplica, withheldRemovalLimitsTheRevision)
{
    const Timestamp now {1h};
    const std::vector<ReplicaObject> both {makeObject("a", 3), makeObject("b", 4)};
    ObjectReplica withholding;
    withholding.applyListing(both, 10, now, std::nullopt);
    ObjectReplica other;
    other.applyUpdate(withholding.changesSince(-1, now), now);
    const std::vector<ReplicaObject> removal {makeRemoval("a")};
    withholding.applyChanges(removal, 30, now, now + 2s);
    const std::vector<ReplicaObject> later {makeObject("b", 40)};
    withholding.applyChanges(later, 40, now, now + 2s);
    cr_expect_lt(withholding.revision(), 30);
    other.applyUpdate(withholding.changesSince(other.revision(), now), now);
    cr_expect_lt(other.revision(), 30);
    // A third node has seen the removal from the store without an outage.
    ObjectReplica exact;
    exact.applyListing(both, 10, now, std::nullopt);
    exact.applyChanges(removal, 30, now, std::nullopt);
    cr_assert_gt(exact.revision(), other.revision());
    other.applyUpdate(exact.changesSince(other.revision(), now), now);
    cr_expect_not(contains(other, "a"));
    // The end of the grace time reaches those who know only the first node, too.
    ObjectReplica follower;
    follower.applyUpdate(withholding.changesSince(-1, now), now);
    withholding.removeExpired(now + 2s);
    cr_assert_gt(withholding.revision(), follower.revision());
    follower.applyUpdate(withholding.changesSince(follower.revision(), now), now);
    cr_expect_not(contains(follower, "a"));
}

// Guards against an old copy that brings a removed engine back.
Test(objectreplica, removalIsFinalForItsRevision)
{
    const Timestamp now {1h};
    const std::vector<ReplicaObject> listed {makeObject("a", 3)};
    ObjectReplica lagging;
    lagging.applyListing(listed, 10, now, std::nullopt);
    ObjectReplica replica;
    replica.applyListing(listed, 10, now, std::nullopt);
    const std::vector<ReplicaObject> removal {makeRemoval("a")};
    replica.applyChanges(removal, 12, now, std::nullopt);
    replica.applyUpdate(lagging.changesSince(-1, now), now);
    cr_expect_not(contains(replica, "a"));
    const std::vector<ReplicaObject> restarted {makeObject("a", 15)};
    replica.applyChanges(restarted, 15, now, std::nullopt);
    cr_expect(contains(replica, "a"));
}

// Guards against an object that is removed and created again within one call and then ignored.
Test(objectreplica, lastChangeOfACallCounts)
{
    const Timestamp now {1h};
    ObjectReplica replica;
    const std::vector<ReplicaObject> listed {makeObject("a", 3)};
    replica.applyListing(listed, 10, now, std::nullopt);
    const std::vector<ReplicaObject> changes {makeRemoval("a"), makeObject("a", 14)};
    replica.applyChanges(changes, 16, now, std::nullopt);
    cr_expect(contains(replica, "a"));
}

// Guards against knowledge that looks newer than it is: a node must refuse revoked keys in time.
Test(objectreplica, ageIsThatOfTheOldestKnowledge)
{
    const Timestamp now {1h};
    ObjectReplica source;
    const std::vector<ReplicaObject> listed {makeObject("a", 3)};
    source.applyListing(listed, 10, now, std::nullopt);
    ObjectReplica copy;
    cr_expect_not(copy.age(now).has_value());
    copy.applyUpdate(source.changesSince(-1, now + 700ms), now + 800ms);
    cr_expect_eq(*copy.age(now + 800ms), 700ms);
    // Confirms the state only if the copy contains all of it.
    wire::StateVersion version;
    version.revision = 10;
    version.ageMillis = 100;
    copy.confirm(version, now + 1s);
    cr_expect_eq(*copy.age(now + 1s), 100ms);
    version.revision = 11;
    version.ageMillis = 0;
    copy.confirm(version, now + 2s);
    cr_expect_eq(*copy.age(now + 2s), 1100ms);
}

namespace {

/*!
    A store whose objects change at random, and replicas that are filled from it or from each other.
*/
class ReplicaRun
{
public:
    explicit ReplicaRun(std::uint64_t seed) : m_random(seed) { }

    void step()
    {
        m_now += 10ms;
        if (choose(3) == 0)
            changeStore();
        const std::size_t node = choose(replicas.size());
        const std::size_t source = choose(replicas.size());
        const bool hasGrace = choose(4) == 0;
        const auto graceEnd = hasGrace ? std::optional(m_now + 300ms) : std::nullopt;
        switch (choose(4)) {
        case 0:
            replicas[node].applyListing(m_objects, m_revision, m_now, graceEnd);
            m_storeRevisions[node] = m_revision;
            break;
        case 1:
            watch(node, graceEnd);
            break;
        default:
            // Lost and late updates are updates that are not fetched.
            if (replicas[source].hasState())
                replicas[node].applyUpdate(
                        replicas[source].changesSince(
                                replicas[node].hasState() ? replicas[node].revision() : -1, m_now),
                        m_now);
        }
        for (ObjectReplica &replica : replicas)
            replica.removeExpired(m_now);
    }

    /*!
        Lets one replica read the store and the others fetch from it.
    */
    void converge()
    {
        m_now += 1s;
        for (ObjectReplica &replica : replicas)
            replica.removeExpired(m_now);
        replicas[0].applyListing(m_objects, m_revision, m_now, std::nullopt);
        for (std::size_t i = 1; i < replicas.size(); ++i) {
            if (!replicas[i].hasState() || replicas[i].revision() < replicas[0].revision())
                replicas[i].applyUpdate(
                        replicas[0].changesSince(
                                replicas[i].hasState() ? replicas[i].revision() : -1, m_now),
                        m_now);
        }
    }

    bool isSameAsStore(const ObjectReplica &replica) const
    {
        const wire::ReplicaUpdate state = replica.changesSince(-1, m_now);
        std::size_t n = 0;
        for (const wire::ReplicatedObject &object : state.objects)
            n += object.removed ? 0 : 1;
        const bool hasAll = std::all_of(m_objects.begin(), m_objects.end(), [&](const auto &item) {
            return std::any_of(state.objects.begin(), state.objects.end(), [&](const auto &object) {
                return object.name == item.name && object.revision == item.revision
                        && !object.removed;
            });
        });
        return hasAll && n == m_objects.size();
    }

    std::vector<ObjectReplica> replicas {6, ObjectReplica(5s)};

private:
    std::size_t choose(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    void changeStore()
    {
        const std::string name(1, static_cast<char>('a' + choose(8)));
        ++m_revision;
        const auto found = std::find_if(m_objects.begin(), m_objects.end(), [&](const auto &item) {
            return item.name == name;
        });
        if (found == m_objects.end()) {
            m_objects.push_back(makeObject(name, m_revision));
            m_history.push_back(m_objects.back());
        } else if (choose(2) == 0) {
            *found = makeObject(name, m_revision);
            m_history.push_back(*found);
        } else {
            m_objects.erase(found);
            m_history.push_back(makeRemoval(name));
            m_history.back().revision = m_revision;
        }
    }

    void watch(std::size_t node, std::optional<Timestamp> graceEnd)
    {
        if (!m_storeRevisions.contains(node))
            return;
        std::vector<ReplicaObject> events;
        for (const ReplicaObject &object : m_history) {
            if (object.revision > m_storeRevisions[node])
                events.push_back(object);
        }
        replicas[node].applyChanges(events, m_revision, m_now, graceEnd);
        m_storeRevisions[node] = m_revision;
    }

    std::minstd_rand m_random;
    Timestamp m_now {1h};
    std::int64_t m_revision = 1;
    std::vector<ReplicaObject> m_objects;
    std::vector<ReplicaObject> m_history;
    std::map<std::size_t, std::int64_t> m_storeRevisions;
};

} // namespace

// Guards against replicas that differ for good after any order of listings, changes, grace times
// and updates between them.
Test(objectreplica, replicasConverge)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        ReplicaRun run(seed);
        for (int i = 0; i < 400; ++i)
            run.step();
        run.converge();
        for (const ObjectReplica &replica : run.replicas)
            cr_assert(run.isSameAsStore(replica), "seed %lu", static_cast<unsigned long>(seed));
    }
}
