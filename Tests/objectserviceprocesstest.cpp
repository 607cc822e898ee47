#include "Adapter/sesameadapter.h"
#include "Node/sesamenode.h"
#include "support/processgroup.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

//! The stand-in for the object service, running in its own process.
class ServiceProcess
{
public:
    ServiceProcess()
    {
        const std::string address = "127.0.0.1:" + std::to_string(firstPort + getpid() % ports);
        m_url = "http://" + address;
        m_processes.start({STANDINS_BINARY, "objectservice", "--address=" + address}, "/dev/null");
        for (int n = 0; n < 100 && callUrl("GET", m_url + "/control/counts").status != 200; ++n)
            sleepMillis(20);
    }

    void control(const std::string &body) const
    {
        cr_assert_eq(callUrl("POST", m_url + "/control", body).status, 200);
    }

    void post(const std::string &path) const { callUrl("POST", m_url + path); }

    std::int64_t queryCount(const char *name) const
    {
        const JsonPtr counts = parseJson(callUrl("GET", m_url + "/control/counts").body);
        return jsonInteger(counts.get(), name);
    }

    const std::string &url() const { return m_url; }

private:
    static constexpr int firstPort = 29'500;
    static constexpr int ports = 2'000;

    ProcessGroup m_processes;
    std::string m_url;
};

} // namespace

// Guards against misreported writes. A write whose response was lost has an unknown result and must
// not be reported as failed, and a conflict must not be reported as success.
Test(objectservice, writeResultsDistinguishConflictFromUnknown)
{
    const ServiceProcess service;
    const ObjectServiceClient client({.url = service.url(), .timeout = 500ms});
    const std::string value("binary \0 value", 14);
    cr_expect(client.read("a/b c&d").status == StoreStatus::NotFound);
    const StoreResult first = client.writeIf("a/b c&d", value, 0);
    cr_expect(first.status == StoreStatus::Ok);
    const StoreResult conflict = client.writeIf("a/b c&d", "other", 0);
    cr_expect(conflict.status == StoreStatus::Conflict);
    cr_expect_eq(conflict.version, first.version);
    cr_expect(client.read("a/b c&d").value == value);
    service.control(R"({"lose_answers":1})");
    cr_expect(client.writeIf("lost", "v", 0).status == StoreStatus::AnswerLost);
    cr_expect(client.read("lost").status == StoreStatus::Ok);
    service.control(R"({"refuse_writes":true})");
    cr_expect(client.writeIf("refused", "v", 0).status == StoreStatus::Unavailable);
    cr_expect(client.read("lost").status == StoreStatus::Ok);
    service.control(R"({"refuse_writes":false,"outage":true})");
    cr_expect(client.read("lost").status == StoreStatus::Unavailable);
    cr_expect(client.writeIf("down", "v", 0).status == StoreStatus::Unavailable);
    service.control(R"({"outage":false,"delay_ms":700})");
    cr_expect(client.writeIf("slow", "v", 0).status == StoreStatus::AnswerLost);
    const ObjectServiceClient unreachable({.url = "http://127.0.0.1:1", .timeout = 500ms});
    cr_expect(unreachable.writeIf("k", "v", 0).status == StoreStatus::Unavailable);
}

// Guards against a watch that misses a change, a deletion or the restore of an older copy.
Test(objectservice, watchReturnsChanges)
{
    const ServiceProcess service;
    const ObjectServiceClient client({.url = service.url()});
    cr_assert(client.writeIf("w/old", "v", 0).status == StoreStatus::Ok);
    service.post("/control/snapshot");
    const auto list = client.list("w/");
    cr_assert(list.has_value());
    cr_expect_eq(list->objects.size(), 1);
    std::thread writer([&client] {
        sleepMillis(100);
        client.writeIf("other", "v", 0);
        client.writeIf("w/new", "v", 0);
    });
    const auto changed = client.watch("w/", list->revision, 5000ms);
    writer.join();
    cr_assert(changed && changed->objects.size() == 1);
    cr_expect_str_eq(changed->objects[0].key.c_str(), "w/new");
    cr_expect(client.watch("w/", changed->revision, 50ms)->objects.empty());
    client.removeIf("w/new", changed->objects[0].version);
    const auto removed = client.watch("w/", changed->revision, 5000ms);
    cr_assert(removed && removed->objects.size() == 1);
    cr_expect_eq(removed->objects[0].version, 0);
    service.post("/control/restore");
    const auto restored = client.watch("w/", removed->revision, 5000ms);
    cr_assert(restored.has_value());
    cr_expect_eq(restored->revision, list->revision);
}

// Guards against a key that two nodes claim concurrently over the real protocol, and against
// separate writes for claims that wait for the same shard and could share one write.
Test(objectservice, manyThreadsClaimEachKeyOnce)
{
    constexpr int threads = 8;
    constexpr int keys = 20;
    constexpr std::int64_t allClaims = 160;
    const ServiceProcess service;
    const SystemClock clock;
    ObjectServiceClient client({.url = service.url()});
    using Committer = ClaimCommitter<ObjectServiceClient, SystemClock>;
    Committer first(client, clock, {.node = "n1", .incarnation = 1, .shardCount = 2});
    Committer second(client, clock, {.node = "n2", .incarnation = 2, .shardCount = 2});
    service.control(R"({"lose_answers":5,"delay_ms":5})");
    std::atomic<int> granted = 0;
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (int n = 0; n < threads; ++n) {
        callers.emplace_back([&, n] {
            Committer &node = n % 2 == 0 ? first : second;
            for (int key = 0; key < keys; ++key) {
                const ClaimRequest request {.key = computeClaimKey("account", std::to_string(key)),
                                            .fingerprint = computeCallFingerprint({"call"})};
                granted += node.claim(request).status == ClaimStatus::Granted ? 1 : 0;
            }
        });
    }
    for (std::thread &it : callers)
        it.join();
    cr_expect_eq(granted.load(), keys);
    cr_expect_lt(service.queryCount("writes"), allClaims);
}
