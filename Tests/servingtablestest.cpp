#include "Core/crashtable.h"
#include "Core/eventsplitter.h"
#include "Core/peertable.h"
#include "Core/truetime.h"
#include "Core/usageledger.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

wire::NodeReport makeReport(const std::string &node, std::int64_t sequence, double consumed)
{
    wire::NodeReport report;
    report.node = node;
    report.incarnation = 1;
    report.sequence = sequence;
    report.entryAddress = "10.0.0.1:80";
    report.ready = true;
    report.consumed["account"] = consumed;
    return report;
}

} // namespace

// Guards against refusing a harmless request that ran on the same engines as a crashing one.
Test(crashtable, successClearsSuspect)
{
    CrashTable table;
    const Timestamp now {1h};
    for (int i = 0; i < 3; ++i)
        table.recordCrash(1, now);
    cr_expect(table.isRefused(1));
    table.recordSuccess(1);
    cr_expect_not(table.isRefused(1));
}

// Guards against a crashing request that is sent again through other nodes.
Test(crashtable, crashesOfAllNodesCount)
{
    CrashTable table;
    const Timestamp now {1h};
    table.recordCrash(1, now);
    cr_expect_not(table.isRefused(1));
    table.setPeerCount(1, {.crashes = 2}, now);
    cr_expect(table.isRefused(1));
    table.removeExpired(now + 60s);
    cr_expect_not(table.isRefused(1));
}

// Guards against incomplete events that reach a caller, and against a resume after the wrong event.
Test(eventsplitter, onlyWholeEventsPass)
{
    EventSplitter splitter;
    cr_expect(splitter.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    cr_expect_str_eq(splitter.lastId().c_str(), "1");
    cr_expect(splitter.append("ta: b\n").empty());
    cr_expect(splitter.append("\n") == "id: 2\ndata: b\n\n");
    cr_expect_str_eq(splitter.lastId().c_str(), "2");
    cr_expect_eq(splitter.eventCount(), 2U);
    splitter.append("id: 3\n");
    splitter.dropPartial();
    cr_expect(splitter.append("id:3\r\ndata: c\r\n\r\n") == "id:3\r\ndata: c\r\n\r\n");
    cr_expect_str_eq(splitter.lastId().c_str(), "3");
}

// Guards against counting usage twice if a datagram is repeated or the counts come from two
// sources.
Test(usageledger, mergeIsIdempotent)
{
    UsageLedger ledger;
    ledger.count(7, "a#1", "account");
    ledger.merge(7, "b#1", {{"account", 5}});
    ledger.merge(7, "b#1", {{"account", 5}});
    ledger.merge(7, "b#1", {{"account", 3}});
    cr_expect_eq(ledger.total(7)["account"], 6);
    ledger.removeBefore(8);
    cr_expect(ledger.total(7).empty());
}

// Guards against usage that is assigned to another window because a clock is wrong.
Test(truetime, minorityOfWrongClocksDoesNotChangeTheEstimate)
{
    TrueTime time(1'000'000 + 2400, 0);
    time.recordPeerEstimate("b", 1'000'010, 10);
    time.recordPeerEstimate("c", 999'990, 0);
    cr_expect_leq(std::abs(time.now(0) - 1'000'000), 10);
    cr_expect_eq(time.now(500) - time.now(0), 500);
}

// Guards against a peer's consumption that is charged twice or not at all.
Test(peertable, reportsAreChargedOnce)
{
    PeerTable table;
    const Timestamp now {1h};
    cr_expect(table.recordReport(makeReport("b", 1, 100.0), now).empty());
    cr_expect_eq(table.recordReport(makeReport("b", 3, 130.0), now)["account"], 30.0);
    // Datagrams may arrive out of order.
    cr_expect(table.recordReport(makeReport("b", 2, 120.0), now).empty());
    wire::NodeReport restarted = makeReport("b", 1, 20.0);
    restarted.incarnation = 2;
    cr_expect_eq(table.recordReport(restarted, now)["account"], 20.0);
}

// Guards against directing callers to a node that is silent, leaving or long gone.
Test(peertable, directoryListsAliveNodes)
{
    PeerTable table;
    Timestamp now {1h};
    table.addListedNode("old", "10.0.0.9:80", "z", now);
    cr_expect(table.entryAddresses(now, false).empty());
    cr_expect_eq(table.entryAddresses(now, true).size(), 1U);
    table.recordReport(makeReport("b", 1, 0.0), now);
    cr_expect_eq(table.entryAddresses(now, false).size(), 1U);
    wire::NodeReport leaving = makeReport("b", 2, 0.0);
    leaving.leaving = true;
    table.recordReport(leaving, now);
    cr_expect(table.entryAddresses(now, false).empty());
    now += 15s;
    cr_expect_eq(table.removeExpired(now).size(), 2U);
}

// Guards against a network partition in which both sides grant the whole quota.
Test(peertable, silentPeersKeepTheirShare)
{
    PeerTable table;
    const Timestamp now {1h};
    table.recordReport(makeReport("b", 1, 0.0), now);
    table.recordReport(makeReport("c", 1, 0.0), now + 1s);
    cr_expect_float_eq(table.silentQuotaShare(now + 1s), 1.0 / 3.0, 1e-9);
}
