#include "Core/quotabucket.h"
#include "Core/peertable.h"
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

struct Grant
{
    Timestamp time;
    double cost = 0.0;
};

/*!
    Nodes that share one quota, with reports that are late or cut off. Every account asks for far
    more than its quota.
*/
class SharedQuotaRun
{
public:
    explicit SharedQuotaRun(std::uint64_t seed) : m_random(seed), m_buckets(nodes)
    {
        for (QuotaBucket &bucket : m_buckets)
            bucket.setLimit(rate, burst, m_now);
    }

    std::string play()
    {
        constexpr Duration step = 10ms;
        for (int i = 0; i < 4000; ++i) {
            m_now += step;
            if (i % 400 == 0)
                chooseCut();
            deliver();
            for (std::size_t n = 0; n < nodes; ++n)
                spend(n);
        }
        return check();
    }

private:
    void chooseCut()
    {
        m_cut.assign(nodes, false);
        std::bernoulli_distribution isCut(0.3);
        for (std::size_t n = 0; n < nodes; ++n)
            m_cut[n] = isCut(m_random);
        m_cutSince = m_now;
    }

    bool isApart(std::size_t a, std::size_t b) const { return m_cut[a] != m_cut[b] || m_cut[a]; }

    double silentShare(std::size_t n) const
    {
        // A silence is noticed only after a while.
        if (m_now - m_cutSince < PeerTableOptions().silenceLimit)
            return 0.0;
        std::size_t silent = 0;
        for (std::size_t other = 0; other < nodes; ++other)
            silent += other != n && isApart(n, other) ? 1 : 0;
        return static_cast<double>(silent) / nodes;
    }

    void spend(std::size_t n)
    {
        std::uniform_real_distribution<double> cost(200.0, 12000.0);
        QuotaBucket &bucket = m_buckets[n];
        bucket.advance(m_now, silentShare(n), PeerTableOptions().silenceLimit);
        const double units = cost(m_random);
        if (!bucket.tryTake(units))
            return;
        m_grants.push_back({m_now, units});
        for (std::size_t other = 0; other < nodes; ++other) {
            if (other != n)
                m_reports.push_back({n, other, m_now + 150ms, units});
        }
    }

    void deliver()
    {
        std::erase_if(m_reports, [this](const Report &report) {
            if (report.due > m_now || isApart(report.from, report.to))
                return false;
            m_buckets[report.to].charge(report.cost);
            return true;
        });
    }

    std::string check() const
    {
        // The stated limit: what a window may take, a tenth more, and a fixed slack.
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
                return "window took " + std::to_string(sum) + " of " + std::to_string(limit);
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
    std::vector<bool> m_cut = std::vector<bool>(nodes, false);
    Timestamp m_cutSince {};
    std::vector<Report> m_reports;
    std::vector<Grant> m_grants;
};

} // namespace

// Guards against nodes that together grant more than the quota, in touch or cut off.
Test(quotabucket, sumOverNodesHoldsInPartitions)
{
    const int failures = runSeeds({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, [](std::uint64_t seed) {
        return SharedQuotaRun(seed).play();
    });
    cr_expect_eq(failures, 0);
}

// Guards against an account that is refused within its quota by a node that is alone.
Test(quotabucket, aloneNodeGrantsItsShare)
{
    QuotaBucket bucket;
    Timestamp now {1h};
    bucket.setLimit(700.0, 700.0, now);
    bucket.limitLevel(0.0);
    double granted = 0.0;
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        bucket.advance(now, 6.0 / 7.0, Duration::zero());
        granted += bucket.tryTake(1.0) ? 1.0 : 0.0;
    }
    cr_expect_geq(granted, 990.0);
    cr_expect_leq(granted, 1100.0);
}

// Guards against a request larger than the burst that could never be served.
Test(quotabucket, oversizedRequestTakesFullBucket)
{
    QuotaBucket bucket;
    const Timestamp now {1h};
    bucket.setLimit(10.0, 10.0, now);
    cr_expect(bucket.tryTake(25.0));
    cr_expect_not(bucket.tryTake(1.0));
    // Nine tenths of the burst are granted: 9 - 25 units, and 5 more are wanted at 10 a second.
    cr_expect_eq(bucket.timeUntil(5.0), Duration(2100ms));
}

// Guards against a refusal that costs the account what it did not get.
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
