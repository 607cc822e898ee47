#include "Core/quotabucket.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 50000.0;
constexpr double burst = 50000.0;
constexpr std::size_t nodes = 7;
//! Time without a report after which a node counts as silent.
constexpr Duration silenceLimit {std::chrono::milliseconds(500)};

struct Grant
{
    Timestamp time;
    double cost = 0.0;
};

/*!
    Simulates nodes that share one quota, with delayed reports and network partitions. The requests
    far exceed the quota.
*/
class SharedQuotaRun
{
public:
    explicit SharedQuotaRun(std::uint64_t seed) : m_random(seed), m_buckets(nodes)
    {
        for (QuotaBucket &bucket : m_buckets)
            bucket.setLimit(rate, burst, m_now);
    }

    std::string run()
    {
        constexpr Duration step = 10ms;
        for (int i = 0; i < 4000; ++i) {
            m_now += step;
            if (i % 400 == 0)
                partitionNodes();
            deliverReports();
            for (std::size_t n = 0; n < nodes; ++n)
                consume(n);
        }
        return checkWindows();
    }

private:
    void partitionNodes()
    {
        m_isolated.assign(nodes, false);
        std::bernoulli_distribution isolation(0.3);
        for (std::size_t n = 0; n < nodes; ++n)
            m_isolated[n] = isolation(m_random);
        m_partitionedSince = m_now;
    }

    bool areSeparated(std::size_t a, std::size_t b) const
    {
        return m_isolated[a] != m_isolated[b] || m_isolated[a];
    }

    double silentShare(std::size_t n) const
    {
        // Missing reports are detected only after a delay.
        if (m_now - m_partitionedSince < silenceLimit)
            return 0.0;
        std::size_t silent = 0;
        for (std::size_t other = 0; other < nodes; ++other)
            silent += other != n && areSeparated(n, other) ? 1 : 0;
        return static_cast<double>(silent) / nodes;
    }

    void consume(std::size_t n)
    {
        std::uniform_real_distribution<double> cost(200.0, 12000.0);
        QuotaBucket &bucket = m_buckets[n];
        bucket.refill(m_now, silentShare(n), silenceLimit);
        const double units = cost(m_random);
        if (!bucket.tryTake(units))
            return;
        m_grants.push_back({m_now, units});
        for (std::size_t other = 0; other < nodes; ++other) {
            if (other != n)
                m_reports.push_back({n, other, m_now + 150ms, units});
        }
    }

    void deliverReports()
    {
        std::erase_if(m_reports, [this](const Report &report) {
            if (report.due > m_now || areSeparated(report.from, report.to))
                return false;
            m_buckets[report.to].chargePeerUsage(report.cost, m_now);
            return true;
        });
    }

    std::string checkWindows() const
    {
        // The specified limit: the quota of a window plus a tenth, and a fixed slack.
        constexpr Duration window = 8s;
        constexpr double slack = 140000.0;
        const double limit = (rate * 8.0 + burst) * 1.1 + slack;
        double sum = 0.0;
        std::size_t first = 0;
        for (const Grant &grant : m_grants) {
            sum += grant.cost;
            while (grant.time - m_grants[first].time > window)
                sum -= m_grants[first++].cost;
            if (sum > limit)
                return "a window granted " + std::to_string(sum) + " units, the limit is "
                        + std::to_string(limit);
        }
        return {};
    }

    struct Report
    {
        std::size_t from;
        std::size_t to;
        Timestamp due;
        double cost;
    };

    std::mt19937_64 m_random;
    Timestamp m_now {1h};
    std::vector<QuotaBucket> m_buckets;
    std::vector<bool> m_isolated = std::vector<bool>(nodes, false);
    Timestamp m_partitionedSince {};
    std::vector<Report> m_reports;
    std::vector<Grant> m_grants;
};

} // namespace

// Guards against nodes that together grant more than the quota, connected or partitioned.
Test(quotabucket, sumOverNodesHoldsInPartitions)
{
    const int failures = runSeeds({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, [](std::uint64_t seed) {
        return SharedQuotaRun(seed).run();
    });
    cr_expect_eq(failures, 0);
}

// Guards against a node that reaches no peer and refuses requests within its share of the quota.
Test(quotabucket, isolatedNodeGrantsItsShare)
{
    QuotaBucket bucket;
    Timestamp now {1h};
    bucket.setLimit(700.0, 700.0, now);
    bucket.capLevel(0.0);
    double granted = 0.0;
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        bucket.refill(now, 6.0 / 7.0, Duration::zero());
        granted += bucket.tryTake(1.0) ? 1.0 : 0.0;
    }
    cr_expect_geq(granted, 990.0);
    cr_expect_leq(granted, 1100.0);
}

// Guards against a request that can never be granted because it costs more than the burst.
Test(quotabucket, oversizedRequestTakesFullBucket)
{
    QuotaBucket bucket;
    const Timestamp now {1h};
    bucket.setLimit(10.0, 10.0, now);
    cr_expect(bucket.tryTake(25.0));
    cr_expect_not(bucket.tryTake(1.0));
    // The bucket holds nine tenths of the burst, so the level is 9 - 25 = -16 units. Another 5
    // units need 21 units at 10 per second.
    cr_expect_eq(bucket.timeUntilAvailable(5.0), Duration(2100ms));
}

// Guards against charging an account for a request that did not run.
Test(quotabucket, refundRestoresLevel)
{
    QuotaBucket bucket;
    const Timestamp now {1h};
    bucket.setLimit(10.0, 10.0, now);
    cr_expect(bucket.tryTake(9.0));
    cr_expect_not(bucket.tryTake(1.0));
    bucket.refund(9.0);
    cr_expect_eq(bucket.consumed(), 0.0);
    cr_expect(bucket.tryTake(9.0));
}
