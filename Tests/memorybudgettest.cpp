#include "Core/Memory/memorybudget.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

using Ids = std::vector<MemoryBudget::HolderId>;

constexpr std::size_t megabyte = 1U << 20U;
const MemoryBudget::Time start {};
const MemoryBudget::Time now = start + 10s;

} // namespace

// Guards against cuts while the limit is kept, and against a limit of 0 that counts as reached.
Test(memorybudget, cutsNothingWithinTheLimit)
{
    MemoryBudget budget(40 * megabyte);
    MemoryBudget unlimited(0);
    budget.charge(1, 30 * megabyte, HolderState::Incomplete, start);
    unlimited.charge(1, 300 * megabyte, HolderState::Incomplete, start);
    cr_expect(budget.takeVictims(now).empty());
    cr_expect(unlimited.takeVictims(now).empty());
    cr_expect(budget.hasRoomFor(1) && unlimited.hasRoomFor(1));
}

// Guards against a request that makes progress being cut for one that has stopped.
Test(memorybudget, cutsTheLargestAndLongestIdleFirst)
{
    MemoryBudget budget(8 * megabyte);
    budget.charge(1, 4 * megabyte, HolderState::Incomplete, now);
    budget.charge(2, 3 * megabyte, HolderState::Incomplete, start);
    cr_expect(budget.takeVictims(now) == Ids {2});
    cr_expect_eq(budget.heldBytes(), 4 * megabyte);
    cr_expect(budget.takeVictims(now).empty());
    budget.charge(2, 1 * megabyte, HolderState::Working, now);
    cr_expect_eq(budget.heldBytes(), 4 * megabyte, "a victim is counted again");
    budget.remove(2);
    budget.remove(1);
    cr_expect_eq(budget.heldBytes(), 0);
}

// Guards against large requests that take the memory of small ones.
Test(memorybudget, keepsAReserveForSmallRequests)
{
    MemoryBudget budget(8 * megabyte);
    budget.charge(1, 6 * megabyte, HolderState::Working, start);
    budget.charge(2, 1 * megabyte, HolderState::Incomplete, now);
    budget.charge(3, 60'000, HolderState::Working, now);
    cr_expect(budget.takeVictims(now) == Ids {2});
    cr_expect(budget.hasRoomFor(3));
    budget.charge(4, 1 * megabyte, HolderState::Working, now);
    cr_expect(budget.takeVictims(now).empty());
    cr_expect_not(budget.hasRoomFor(4));
    cr_expect(budget.hasRoomFor(3));
}

// Guards against requests that may have run, and answers that are being read, being cut.
Test(memorybudget, sparesWorkAndReaders)
{
    MemoryBudget budget(4 * megabyte);
    budget.charge(1, 3 * megabyte, HolderState::Working, start);
    budget.charge(2, 3 * megabyte, HolderState::Unread, now - 500ms);
    cr_expect(budget.takeVictims(now).empty());
    cr_expect(budget.takeVictims(now + 1s) == Ids {2});
}

// Guards against many small holders that exceed the limit together.
Test(memorybudget, cutsSmallHoldersOverTheWholeLimit)
{
    MemoryBudget budget(megabyte);
    for (MemoryBudget::HolderId id = 0; id < 100; ++id)
        budget.charge(id, 16'384, HolderState::Incomplete, start + id * 1ms);
    const Ids victims = budget.takeVictims(now);
    cr_assert_eq(victims.size(), 36);
    cr_expect_eq(victims.front(), 0);
}
