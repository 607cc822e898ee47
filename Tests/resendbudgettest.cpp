#include "Core/resendbudget.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace std::chrono_literals;

// Guards against nodes that together resend more requests in a window than the ratio and the slack
// allow.
Test(resendbudget, sumOverNodesKeepsTheLimit)
{
    constexpr std::size_t nodes = 7;
    constexpr double slack = 54.0;
    constexpr double ratio = 0.2;
    std::vector<ResendBudget> budgets(
            nodes, ResendBudget({.ratio = ratio, .slack = slack, .window = 10s}));
    Timestamp now {1h};
    int requests = 0;
    int resends = 0;
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        ResendBudget &budget = budgets[static_cast<std::size_t>(i) % nodes];
        budget.recordRequest("service", now);
        ++requests;
        for (int k = 0; k < 3; ++k)
            resends += budget.tryResend("service", nodes, now) ? 1 : 0;
    }
    cr_expect_leq(resends, ratio * requests + slack);
    cr_expect_geq(resends, ratio * requests / 2);
}

// Guards against requests that still count after they have left the window.
Test(resendbudget, requestsLeaveTheWindow)
{
    ResendBudget budget({.ratio = 0.5, .slack = 0.0, .window = 10s, .usableShare = 1.0});
    Timestamp now {1h};
    for (int i = 0; i < 10; ++i)
        budget.recordRequest("service", now);
    cr_expect(budget.tryResend("service", 1, now));
    now += 10s;
    cr_expect_not(budget.tryResend("service", 1, now));
    cr_expect_not(budget.tryResend("another", 1, now));
}
