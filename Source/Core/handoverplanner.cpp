#include "Core/handoverplanner.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>

namespace sesame {

namespace {

constexpr double microsPerSecond = 1e6;
// Used for peers of weight 0, so that they share the load equally if no other peer is left.
constexpr double minWeight = 1e-6;

struct Candidate
{
    const HandoverPeer *peer = nullptr;
    double load = 0.0; //!< Assigned cost divided by the weight.
};

template <typename Predicate>
std::vector<Candidate> filterPeers(std::span<const HandoverPeer> peers, const Predicate &matches)
{
    std::vector<Candidate> candidates;
    for (const HandoverPeer &peer : peers) {
        if (!peer.leaving && matches(peer))
            candidates.push_back({.peer = &peer});
    }
    const auto hasWeight = [](const Candidate &it) {
        return it.peer->weight > 0.0;
    };
    if (std::any_of(candidates.begin(), candidates.end(), hasWeight))
        std::erase_if(candidates, std::not_fn(hasWeight));
    return candidates;
}

std::vector<Candidate> selectCandidates(std::string_view ownZone,
                                        std::span<const std::string> leavingZones,
                                        std::span<const HandoverPeer> peers, bool *isRelaxed)
{
    const auto isInStayingZone = [leavingZones](const HandoverPeer &peer) {
        return std::find(leavingZones.begin(), leavingZones.end(), peer.zone) == leavingZones.end();
    };
    std::vector<Candidate> candidates = filterPeers(peers, [&](const HandoverPeer &peer) {
        return isInStayingZone(peer) && peer.zone != ownZone;
    });
    *isRelaxed = candidates.empty();
    if (candidates.empty())
        candidates = filterPeers(peers, isInStayingZone);
    if (candidates.empty())
        candidates = filterPeers(peers, [](const HandoverPeer &) {
            return true;
        });
    return candidates;
}

double loadAfter(const Candidate &candidate, const OpenRequest &request)
{
    const double weight = std::max(candidate.peer->weight, minWeight);
    return candidate.load + static_cast<double>(std::max<std::uint64_t>(request.cost, 1)) / weight;
}

Candidate *choosePeer(const OpenRequest &request, std::vector<Candidate> *candidates)
{
    Candidate *best = nullptr;
    const auto score = [&request](const Candidate &it) {
        const bool isInEngineZone = !request.engineZone.empty()
                && it.peer->zone == request.engineZone;
        return std::make_tuple(isInEngineZone, loadAfter(it, request),
                               std::string_view(it.peer->node));
    };
    for (Candidate &candidate : *candidates) {
        if (!best || score(candidate) < score(*best))
            best = &candidate;
    }
    return best;
}

Duration toDuration(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * microsPerSecond));
}

Duration recomputeTime(const EngineMove &move, const MoveCosts &costs)
{
    if (costs.prefillTokensPerSecond <= 0.0)
        return Duration::max();
    const std::uint64_t uncached = move.contextTokens
            - std::min(move.cachedTokens, move.contextTokens);
    return toDuration(static_cast<double>(uncached) / costs.prefillTokensPerSecond);
}

std::optional<Duration> transferTime(const EngineMove &move, const MoveCosts &costs)
{
    if (costs.transferBytesPerSecond <= 0.0)
        return std::nullopt;
    const double bytes = static_cast<double>(move.contextTokens) * costs.kvBytesPerToken;
    return costs.transferOverhead + toDuration(bytes / costs.transferBytesPerSecond);
}

/*!
    Returns the recomputation time that each second of transfer saves.
*/
double recomputeSavingRatio(const EngineMove &move, const MoveCosts &costs)
{
    const std::optional<Duration> transfer = transferTime(move, costs);
    if (!transfer)
        return 0.0;
    const auto saved = static_cast<double>(recomputeTime(move, costs).count());
    return saved / static_cast<double>(std::max<Duration::rep>(transfer->count(), 1));
}

bool canFinishWithin(const EngineMove &move, const MoveCosts &costs, Duration available)
{
    const auto tokens = static_cast<Duration::rep>(move.remainingTokens);
    return costs.tokenTime.count() > 0 && available.count() / costs.tokenTime.count() >= tokens;
}

/*!
    Decides on \a move. Earlier transfers use the link for \a linkBusyTime, which is increased if
    the decision is another transfer.
*/
MoveDecision decideMove(const EngineMove &move, const MoveCosts &costs, Duration available,
                        Duration *linkBusyTime)
{
    MoveDecision decision {.requestId = move.requestId};
    if (canFinishWithin(move, costs, available)) {
        decision.method = MoveMethod::Finish;
        return decision;
    }
    const Duration recompute = recomputeTime(move, costs);
    const std::optional<Duration> transfer = transferTime(move, costs);
    const bool isTransferPossible = transfer && *transfer <= available - *linkBusyTime;
    if (isTransferPossible && (!move.isTextKnown || *transfer < recompute)) {
        decision.method = MoveMethod::Transfer;
        decision.pause = *transfer;
        *linkBusyTime += *transfer;
        return decision;
    }
    decision.pause = recompute;
    decision.feasible = move.isTextKnown;
    return decision;
}

} // namespace

HandoverPlan planHandovers(std::string_view ownZone, std::span<const std::string> leavingZones,
                           std::span<const HandoverPeer> peers,
                           std::span<const OpenRequest> requests)
{
    HandoverPlan plan;
    std::vector<Candidate> candidates = selectCandidates(ownZone, leavingZones, peers,
                                                         &plan.zoneRuleRelaxed);
    std::vector<const OpenRequest *> ordered;
    ordered.reserve(requests.size());
    for (const OpenRequest &request : requests)
        ordered.push_back(&request);
    // Assigning larger requests first within a rank distributes the cost more evenly.
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto *a, const auto *b) {
        return std::tie(a->rank, b->cost) < std::tie(b->rank, a->cost);
    });
    for (const OpenRequest *request : ordered) {
        Handover handover {.requestId = request->id, .node = {}};
        if (Candidate *candidate = choosePeer(*request, &candidates)) {
            handover.node = candidate->peer->node;
            candidate->load = loadAfter(*candidate, *request);
        }
        plan.handovers.push_back(std::move(handover));
    }
    return plan;
}

std::vector<MoveDecision> planEngineMoves(std::span<const EngineMove> moves, const MoveCosts &costs,
                                          Duration noticeTime)
{
    const Duration available = std::max(noticeTime - costs.margin, Duration::zero());
    std::vector<const EngineMove *> ordered;
    ordered.reserve(moves.size());
    for (const EngineMove &move : moves)
        ordered.push_back(&move);
    std::stable_sort(ordered.begin(), ordered.end(), [&costs](const auto *a, const auto *b) {
        return std::make_tuple(a->isTextKnown, a->rank, -recomputeSavingRatio(*a, costs))
                < std::make_tuple(b->isTextKnown, b->rank, -recomputeSavingRatio(*b, costs));
    });
    std::vector<MoveDecision> decisions;
    decisions.reserve(ordered.size());
    Duration linkBusyTime {0};
    for (const EngineMove *move : ordered)
        decisions.push_back(decideMove(*move, costs, available, &linkBusyTime));
    return decisions;
}

} // namespace sesame
