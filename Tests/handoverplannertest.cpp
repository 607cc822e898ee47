#include "Core/sesamecore.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

HandoverPeer makePeer(std::string node, std::string zone, double weight = 1.0, bool leaving = false)
{
    return {.node = std::move(node), .zone = std::move(zone), .weight = weight, .leaving = leaving};
}

OpenRequest makeRequest(std::string id, std::string engineZone = {}, Rank rank = Rank::Standard,
                        std::uint64_t cost = 1)
{
    return {.id = std::move(id), .engineZone = std::move(engineZone), .rank = rank, .cost = cost};
}

MoveCosts makeCosts()
{
    return {.tokenTime = 20ms,
            .prefillTokensPerSecond = 1000.0,
            .kvBytesPerToken = 1000.0,
            .transferBytesPerSecond = 10e6,
            .transferOverhead = 10ms,
            .margin = 500ms};
}

EngineMove makeMove(std::string id, std::uint64_t context, std::uint64_t remaining = 10'000)
{
    return {.requestId = std::move(id), .contextTokens = context, .remainingTokens = remaining};
}

} // namespace

// Guards against handing a request to a node that the same reclaim removes.
Test(handoverplanner, avoidsLeavingZonesAndNodes)
{
    const std::vector<std::string> leaving {"a", "b"};
    const std::vector<HandoverPeer> peers {makePeer("a2", "a"), makePeer("b1", "b"),
                                           makePeer("c1", "c", 1.0, true), makePeer("d1", "d")};
    const std::vector<OpenRequest> requests {makeRequest("1"), makeRequest("2", "d")};
    const HandoverPlan plan = planHandovers("a", leaving, peers, requests);
    cr_assert_not(plan.zoneRuleRelaxed);
    cr_assert_eq(plan.handovers.size(), 2U);
    for (const Handover &handover : plan.handovers)
        cr_expect(handover.node == "d1");
}

// Guards against an entry node and an engine in the same zone, whose loss would remove both.
Test(handoverplanner, avoidsTheEngineZone)
{
    const std::vector<HandoverPeer> peers {makePeer("b1", "b"), makePeer("c1", "c")};
    const std::vector<OpenRequest> requests {makeRequest("1", "b"), makeRequest("2", "c"),
                                             makeRequest("3", "b")};
    const HandoverPlan plan = planHandovers("a", {}, peers, requests);
    const std::map<std::string, std::string> expected {{"1", "c1"}, {"2", "b1"}, {"3", "c1"}};
    for (const Handover &handover : plan.handovers)
        cr_expect(handover.node == expected.at(handover.requestId));
}

// Guards against leaving requests unassigned while any node is left, and against not reporting that
// the zone rule was relaxed.
Test(handoverplanner, relaxesTheZoneRuleLast)
{
    const std::vector<std::string> leaving {"a"};
    const std::vector<OpenRequest> requests {makeRequest("1")};
    const std::vector<HandoverPeer> sameZone {makePeer("a2", "a"), makePeer("a3", "a", 1.0, true)};
    const HandoverPlan leavingZone = planHandovers("a", leaving, sameZone, requests);
    cr_expect(leavingZone.zoneRuleRelaxed);
    cr_expect(leavingZone.handovers[0].node == "a2");
    const HandoverPlan oneZone = planHandovers("a", {}, sameZone, requests);
    cr_expect(oneZone.zoneRuleRelaxed);
    cr_expect(oneZone.handovers[0].node == "a2");
    const std::vector<HandoverPeer> none {makePeer("b1", "b", 1.0, true)};
    const HandoverPlan nobody = planHandovers("a", leaving, none, requests);
    cr_expect(nobody.zoneRuleRelaxed);
    cr_expect(nobody.handovers[0].node.empty());
}

// Guards against urgent requests that are sent after others although the notice time is short.
Test(handoverplanner, sendsUrgentRequestsFirst)
{
    const std::vector<HandoverPeer> peers {makePeer("b1", "b")};
    const std::vector<OpenRequest> requests {makeRequest("1", "", Rank::Batch, 9),
                                             makeRequest("2", "", Rank::Urgent, 1),
                                             makeRequest("3", "", Rank::Standard, 5)};
    const HandoverPlan plan = planHandovers("a", {}, peers, requests);
    cr_expect(plan.handovers[0].requestId == "2");
    cr_expect(plan.handovers[1].requestId == "3");
    cr_expect(plan.handovers[2].requestId == "1");
}

// Guards against a peer that receives more requests than its weight allows, and against requests
// that are lost or handed over twice.
Test(handoverplanner, spreadsCostByWeight)
{
    std::mt19937_64 random(7);
    const std::vector<HandoverPeer> peers {makePeer("b1", "b", 1.0), makePeer("c1", "c", 2.0),
                                           makePeer("d1", "d", 1.0), makePeer("d2", "d", 0.0)};
    std::vector<OpenRequest> requests;
    std::map<std::string, double> costs;
    double total = 0.0;
    for (int n = 0; n < 400; ++n) {
        requests.push_back(makeRequest(std::to_string(n), "", Rank::Standard, 1 + random() % 100));
        total += static_cast<double>(requests.back().cost);
    }
    std::set<std::string> seen;
    for (const Handover &handover : planHandovers("a", {}, peers, requests).handovers) {
        cr_expect(seen.insert(handover.requestId).second);
        const auto n = static_cast<std::size_t>(std::stoi(handover.requestId));
        costs[handover.node] += static_cast<double>(requests[n].cost);
    }
    cr_expect_eq(seen.size(), requests.size());
    cr_expect_float_eq(costs["b1"] / total, 0.25, 0.01);
    cr_expect_float_eq(costs["c1"] / total, 0.5, 0.01);
    cr_expect_float_eq(costs["d1"] / total, 0.25, 0.01);
    cr_expect_eq(costs.count("d2"), 0U);
}

// Guards against recomputing where a transfer is faster, and against the reverse.
Test(handoverplanner, choosesTheCheaperMove)
{
    const std::vector<EngineMove> longContext {makeMove("long", 10'000)};
    // 10,000 tokens: 1.01 s to transfer, 10 s to recompute.
    const auto moved = planEngineMoves(longContext, makeCosts(), 5s);
    cr_expect_eq(moved[0].method, MoveMethod::Transfer);
    cr_expect_eq(moved[0].pause.count(), Duration(1010ms).count());
    std::vector<EngineMove> cached {makeMove("cached", 10'000)};
    cached[0].cachedTokens = 9'500;
    const auto recomputed = planEngineMoves(cached, makeCosts(), 5s);
    cr_expect_eq(recomputed[0].method, MoveMethod::Recompute);
    cr_expect_eq(recomputed[0].pause.count(), Duration(500ms).count());
    MoveCosts noTransfer = makeCosts();
    noTransfer.transferBytesPerSecond = 0.0;
    cr_expect_eq(planEngineMoves(longContext, noTransfer, 5s)[0].method, MoveMethod::Recompute);
}

// Guards against moving, and so pausing, an answer that ends before its engine is reclaimed.
Test(handoverplanner, letsShortAnswersFinish)
{
    const std::vector<EngineMove> moves {makeMove("ends", 10'000, 100),
                                         makeMove("late", 10'000, 101)};
    const auto decisions = planEngineMoves(moves, makeCosts(), 2500ms);
    cr_expect_eq(decisions[0].method, MoveMethod::Finish);
    cr_expect_eq(decisions[1].method, MoveMethod::Transfer);
}

// Guards against transfers that are still running when the engine is reclaimed.
Test(handoverplanner, keepsTransfersWithinTheNotice)
{
    std::vector<EngineMove> moves(5, makeMove("standard", 10'000));
    moves.push_back(makeMove("urgent", 10'000));
    moves.back().rank = Rank::Urgent;
    moves.push_back(makeMove("no text", 10'000));
    moves.back().rank = Rank::Batch;
    moves.back().isTextKnown = false;
    // 3.6 s minus the margin of 500 ms is enough for three transfers of 1.01 s.
    const auto decisions = planEngineMoves(moves, makeCosts(), 3600ms);
    cr_expect(decisions[0].requestId == "no text");
    cr_expect(decisions[1].requestId == "urgent");
    for (std::size_t n = 0; n < decisions.size(); ++n)
        cr_expect_eq(decisions[n].method, n < 3 ? MoveMethod::Transfer : MoveMethod::Recompute);
    const auto tooLate = planEngineMoves(moves, makeCosts(), 100ms);
    cr_expect_eq(tooLate[0].method, MoveMethod::Recompute);
    cr_expect_not(tooLate[0].feasible);
    cr_expect(tooLate[1].feasible);
}
