// The store comes back from an older copy while one node restarts: an engine that leaves is used
// again by nodes that knew that it leaves.
#include "casekit.h"

#include "Http/httpcaller.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr int nodes = 4;
constexpr Millis drain {2000};
constexpr Millis untilDrill {3000};
//! Engines write again within about two seconds.
constexpr Millis untilWrittenAgain {1800};
//! Time from the drill until the leaving engine ends.
constexpr Millis untilExit {1400};
constexpr Millis betweenRequests {20};

struct Run
{
    Record &record;
    Deployment deployment;
    std::map<std::string, std::pair<int, Clock::time_point>> sent; //!< Node and time by id.
    std::map<std::string, unsigned> answers;
    int restarted = 0;
    int count = 0;

    explicit Run(Record &log)
        : record(log), deployment(log,
                                  {.nodes = nodes,
                                   .routes = {{.prefix = "/book/",
                                               .kind = "unsafe",
                                               .service = "app",
                                               .timeoutMs = 2500,
                                               .targetLatencyMs = 150}},
                                   .services = {"app"}})
    {
    }

    void send()
    {
        const std::string id = "b" + std::to_string(++count);
        int node = 1 + count % nodes;
        if (node == restarted)
            node = 1 + node % nodes;
        sent[id] = {node, Clock::now()};
        const auto caller = std::make_shared<sesame::HttpCaller>(deployment.context,
                                                                 deployment.entryAddress(node));
        sesame::HttpFields fields;
        fields.set("Host", "app.example");
        fields.set("Sesameproxy-Attempt-Id", id);
        fields.set("Sesameproxy-Deadline-Ms", "2500");
        fields.set("Authorization", "Token key-of-the-tenant");
        fields.set("Connection", "close");
        record.write("client sends %s to node %d", id.c_str(), node);
        caller->call("POST", "/book/x", fields, "booking " + id, 3s,
                     [this, caller, id](const sesame::CallResponse &answer) {
                         answers[id] = answer.status;
                         record.write("%s: answered %u", id.c_str(), answer.status);
                     });
    }

    void drive(Millis time)
    {
        const auto end = Clock::now() + time;
        auto next = Clock::now();
        while (Clock::now() < end) {
            if (Clock::now() >= next) {
                next += betweenRequests;
                send();
            }
            deployment.runFor(5ms);
        }
    }

    /*!
        Returns a node that follows the store, as its log tells.
    */
    int findFollower() const
    {
        for (int node = 1; node <= nodes; ++node) {
            const std::string log = deployment.log(node);
            const std::size_t followed = log.rfind("store.followed");
            const std::size_t left = log.rfind("store.left");
            if (followed != std::string::npos && (left == std::string::npos || left < followed))
                return node;
        }
        return 1;
    }
};

int runCase(Record &record)
{
    Run run(record);
    Deployment &deployment = run.deployment;
    for (int i = 0; i < 3; ++i)
        deployment.addEngine({.id = "i-" + std::to_string(i), .service = "app", .workTime = 220ms});
    const Engine &leaving = *deployment.engines[0];
    for (int node = 1; node <= nodes; ++node)
        deployment.startNode(node, true);
    for (int node = 1; node <= nodes; ++node) {
        if (!deployment.runUntil(
                    [&] {
                        return deployment.isReady(node);
                    },
                    15s))
            return CaseFailed;
    }
    deployment.runFor(8s);
    run.drive(2s);
    deployment.store->takeCopy();
    record.write("the copy of the store is taken");
    run.drive(500ms);
    deployment.putEntry(leaving, "draining");
    const auto acknowledged = Clock::now();
    run.drive(untilDrill);
    const int follower = run.findFollower();
    if (hasTrouble()) {
        deployment.store->restoreCopy(sesame::EmulatedStore::Writers::Late);
        record.write("the store comes back from the copy");
        run.restarted = follower;
        deployment.signalNode(follower, SIGKILL);
        if (!deployment.waitForEnd(follower, 2s))
            return CaseFailed;
        deployment.startNode(follower, false);
    }
    run.drive(untilExit);
    // The engine has served for over four seconds since the ack, and ends.
    deployment.engines[0]->stop();
    record.write("engine %s ends", leaving.id().c_str());
    run.drive(untilWrittenAgain - untilExit);
    if (hasTrouble()) {
        deployment.store->writeLostObjects();
        record.write("the operator and the engines have written again");
    }
    deployment.removeEntry(leaving);
    run.drive(1000ms);
    deployment.runFor(3s);
    int late = 0;
    int lost = 0;
    for (const auto &[id, request] : run.sent) {
        if (leaving.runs(id) == 0 || request.second < acknowledged + drain)
            continue;
        ++late;
        lost += run.answers[id] != 200 ? 1 : 0;
        record.write(
                "%s, sent to node %d, ran at %s %lld ms after the ack of its leaving", id.c_str(),
                request.first, leaving.id().c_str(),
                static_cast<long long>(
                        std::chrono::duration_cast<Millis>(request.second - acknowledged).count()));
    }
    record.write("DRAIN %s: %d requests reached %s later than drainMs after the ack, through nodes "
                 "that knew that it leaves and did not restart; %d of them not answered with 200",
                 late > 0 ? "is broken" : "holds", late, leaving.id().c_str(), lost);
    return late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char *argv[])
{
    try {
        Record record(argc > 1 ? argv[1] : "record.txt");
        return runCase(record);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return CaseFailed;
    }
}
