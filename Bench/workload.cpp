#include "workload.h"

#include <xxhash.h>

namespace bench {

const std::vector<Deployment> &deployments()
{
    // The shapes are those of urgent, standard and batch requests: specification packs, fibre
    // checks and batch questions in the first deployment; jury reviews, jury notes and tagging in
    // the second one.
    static const std::vector<Deployment> list {
            {.name = "nunkapok",
             .zones = {ZonePrices {"pathum-a", 1.10, 2.90, 0.05},
                       ZonePrices {"pathum-b", 1.25, 2.90, 0.03},
                       ZonePrices {"nonthaburi", 0.95, 3.00, 0.10},
                       ZonePrices {"ayutthaya", 1.40, 3.10, 0.02}},
             .shapes = {RequestShape {6144, 1500, 220, 12, 0.35},
                        RequestShape {512, 400, 60, 12, 0.35},
                        RequestShape {256, 200, 40, 8, 0.30}}},
            {.name = "mimefest",
             .zones = {ZonePrices {"brussels-a", 1.50, 3.20, 0.06},
                       ZonePrices {"brussels-b", 1.35, 3.20, 0.08},
                       ZonePrices {"ghent", 1.20, 3.30, 0.12},
                       ZonePrices {"liege", 1.60, 3.30, 0.03}},
             .shapes = {RequestShape {9216, 1000, 280, 16, 0.45},
                        RequestShape {1024, 300, 90, 16, 0.30},
                        RequestShape {256, 150, 20, 8, 0.25}}}};
    return list;
}

double expectedEngineSeconds(const RequestShape &shape)
{
    return (shape.sharedTokens + shape.ownTokens) * promptTokenSeconds
            + shape.outputTokens * outputTokenSeconds;
}

Request makeRequest(const Deployment &deployment, Rank rank, std::size_t account,
                    std::mt19937_64 &random)
{
    const RequestShape &shape = deployment.shapes[static_cast<std::size_t>(rank)];
    std::uniform_real_distribution<double> lengthFactor(0.5, 1.5);
    Request request;
    request.account = account;
    request.rank = rank;
    const auto ownTokens = static_cast<std::uint32_t>(shape.ownTokens * lengthFactor(random));
    request.promptTokens = shape.sharedTokens + ownTokens;
    request.outputTokens = std::max(
            2U, static_cast<std::uint32_t>(shape.outputTokens * lengthFactor(random)));
    request.fingerprint = random();
    // A topic belongs to one account. Prompts of different accounts never share a prefix.
    const std::uint64_t topic = random() % shape.topicCount;
    std::uint64_t hash = topic * 64 + account * 8 + static_cast<std::uint64_t>(rank);
    for (std::uint32_t at = 0; at + blockTokens <= request.promptTokens; at += blockTokens) {
        const std::uint64_t content = at < shape.sharedTokens ? at : random();
        hash = XXH3_64bits_withSeed(&content, sizeof content, hash);
        request.blocks.push_back(hash);
    }
    return request;
}

} // namespace bench
