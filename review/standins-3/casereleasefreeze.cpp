// Streams of a node that stands still while the first engines of a second software version join.
#include "casekit.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int oldEngines = 4;
constexpr int newEngines = 2;
constexpr Millis betweenStreams {40};
//! The machine stands still for this time.
constexpr Millis freezeTime {5000};
constexpr Millis timeToRelease {1000};

struct Run
{
    Record &record;
    Deployment deployment;
    std::vector<std::shared_ptr<Stream>> streams;
    std::set<int> dead;
    int count = 0;

    explicit Run(Record &log)
        : record(log), deployment(log,
                                  {.nodes = nodes,
                                   .routes = {{.prefix = "/stream/",
                                               .kind = "streaming",
                                               .service = "model",
                                               .maxAttempts = 2,
                                               .resumable = true}},
                                   .services = {"model"}})
    {
    }

    void addEngines(const std::string &version, int n)
    {
        for (int i = 0; i < n; ++i)
            deployment.addEngine({.id = "i-" + version + "-" + std::to_string(i),
                                  .service = "model",
                                  .version = version,
                                  .events = 48,
                                  .eventInterval = 100ms});
    }

    void startStream()
    {
        const int n = ++count;
        const auto stream = std::make_shared<Stream>(
                deployment, record, "s" + std::to_string(n),
                StreamOptions {.path = "/stream/x",
                               .retries = 3,
                               .chooseNode =
                                       [this, n](int before) {
                                           int node = before == 0 ? 1 + n % nodes
                                                                  : 1 + before % nodes;
                                           while (dead.contains(node))
                                               node = 1 + node % nodes;
                                           return node;
                                       },
                               .body = "prompt " + std::to_string(n)});
        streams.push_back(stream);
        stream->start();
    }

    void drive(Millis time)
    {
        const auto end = Clock::now() + time;
        auto next = Clock::now();
        while (Clock::now() < end) {
            if (Clock::now() >= next) {
                next += betweenStreams;
                startStream();
            }
            deployment.runFor(5ms);
        }
    }
};

int runCase(Record &record)
{
    Run run(record);
    Deployment &deployment = run.deployment;
    run.addEngines("1.0", oldEngines);
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
    run.drive(6s);
    const auto start = Clock::now();
    if (hasTrouble()) {
        deployment.signalNode(1, SIGSTOP);
        // The clients find other nodes for new channels.
        run.dead.insert(1);
    }
    run.drive(timeToRelease);
    // JOIN=0 leaves the new engines out, to tell what the freeze alone does.
    const char *join = std::getenv("JOIN");
    if (!join || std::string(join) != "0") {
        record.write("engines of version 2.0 join those of version 1.0, which stay");
        run.addEngines("2.0", newEngines);
    }
    run.drive(freezeTime - timeToRelease);
    if (hasTrouble())
        deployment.signalNode(1, SIGCONT);
    deployment.runUntil(
            [&] {
                return std::all_of(run.streams.begin(), run.streams.end(), [](const auto &stream) {
                    return stream->isEnded();
                });
            },
            12s);
    int takenUp = 0;
    int wentOn = 0;
    int begun = 0;
    int asked = 0;
    for (const auto &stream : run.streams) {
        if (stream->wasTakenUp()) {
            ++takenUp;
            wentOn += stream->wentOn() ? 1 : 0;
        }
        if (stream->startedAt() >= start) {
            ++asked;
            begun += stream->lastEvent() > 0 ? 1 : 0;
        }
    }
    record.write("taken up: %d, of these went on: %d; new streams: %d, of these began: %d; %d "
                 "engines of version 1.0 served all the time",
                 takenUp, wentOn, asked, begun, oldEngines);
    if (hasTrouble() && takenUp < 12)
        return CaseFailed;
    const double takenUpShare = takenUp == 0 ? 1.0 : static_cast<double>(wentOn) / takenUp;
    const double newShare = static_cast<double>(begun) / asked;
    const bool isBroken = takenUp >= 12 && takenUpShare < newShare / 2.0;
    record.write("LOST %s: %.2f of the streams that were taken up went on, %.2f of the new ones "
                 "began",
                 isBroken ? "is broken" : "holds", takenUpShare, newShare);
    return isBroken ? RuleBroken : RuleHeld;
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
