// Engines crash one after the other and start again under their ids, with a new software version,
// while the store does not answer for some seconds.
#include "casekit.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int engines = 4;
constexpr int crashes = 4;
constexpr int slots = 16;
constexpr int streamCount = 48;
constexpr Millis outage {4500};
constexpr Millis betweenCrashes {900};
constexpr Millis downtime {400};

int runCase(Record &record)
{
    Deployment deployment(record,
                          {.nodes = nodes,
                           .routes = {{.prefix = "/stream/",
                                       .kind = "streaming",
                                       .service = "model",
                                       .maxAttempts = 2,
                                       .resumable = true}},
                           .services = {"model"}});
    for (int i = 0; i < engines; ++i)
        deployment.addEngine({.id = "i-" + std::to_string(i),
                              .service = "model",
                              .version = "1.0",
                              .slots = slots,
                              .events = 80,
                              .eventInterval = 100ms});
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
    deployment.runFor(4s);
    std::vector<std::shared_ptr<Stream>> streams;
    for (int i = 0; i < streamCount; ++i) {
        streams.push_back(std::make_shared<Stream>(
                deployment, record, "s" + std::to_string(i),
                StreamOptions {.path = "/stream/x",
                               .retries = 1,
                               .chooseNode =
                                       [i](int before) {
                                           return before == 0 ? 1 + i % nodes : 1 + before % nodes;
                                       },
                               .body = "prompt " + std::to_string(i)}));
        streams.back()->start();
        deployment.runFor(20ms);
    }
    bool isStoreDown = false;
    if (hasTrouble()) {
        isStoreDown = true;
        deployment.store->setFault(sesame::EmulatedStore::Fault::NoAnswer);
        record.write("the store answers no call");
    }
    const auto outageEnd = Clock::now() + outage;
    deployment.runFor(400ms);
    for (int i = 0; i < crashes; ++i) {
        Engine *engine = deployment.engines[static_cast<std::size_t>(i)].get();
        engine->upgrade("2.0", downtime, [&deployment, &isStoreDown, engine] {
            // An engine that does not reach the store registers once that is back.
            if (!isStoreDown)
                deployment.putEntry(*engine, "ready");
        });
        deployment.runFor(betweenCrashes);
    }
    deployment.runFor(std::max(0ms, std::chrono::duration_cast<Millis>(outageEnd - Clock::now())));
    if (isStoreDown) {
        isStoreDown = false;
        deployment.store->setFault(sesame::EmulatedStore::Fault::None);
        record.write("the store is back");
        deployment.runFor(500ms);
        for (int i = 0; i < crashes; ++i)
            deployment.putEntry(*deployment.engines[static_cast<std::size_t>(i)], "ready");
    }
    deployment.runUntil(
            [&] {
                return std::all_of(streams.begin(), streams.end(), [](const auto &stream) {
                    return stream->isEnded();
                });
            },
            11s);
    int mixed = 0;
    for (const auto &stream : streams) {
        if (stream->versions().size() > 1) {
            ++mixed;
            record.write("%s holds events of two versions", stream->name().c_str());
        }
    }
    record.write("ORDER %s: %d of %d streams hold events from engines of two software versions; "
                 "two may",
                 mixed > 2 ? "is broken" : "holds", mixed, streamCount);
    return mixed > 2 ? RuleBroken : RuleHeld;
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
