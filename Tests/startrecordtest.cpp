#include "Core/startrecord.h"
#include "support/fakestore.h"

#include <criterion/criterion.h>

using namespace sesame;

// Guards against an instance that is never stopped, or started again, because its id changes in the
// record of the starts.
Test(startrecord, idsOfInstancesAreKept)
{
    for (const std::string id : {"i\nj", "\ni", "i\tj", "i j", "i\r", "", "i"}) {
        FakeStore store;
        StartRecord<FakeStore> first(store, "instances", 1);
        cr_assert(first.takeOver(1));
        StartSlot slot = first.makeSlot();
        slot.state = StartState::Started;
        slot.backendClass = "big";
        slot.zone = "ghent";
        slot.market = Market::OnDemand;
        slot.instance = id;
        cr_assert(first.save({slot}));
        StartRecord<FakeStore> second(store, "instances", 2);
        cr_assert(second.takeOver(2));
        cr_assert_eq(second.slots().size(), 1U);
        const StartSlot &read = second.slots().front();
        cr_expect_str_eq(read.instance.c_str(), id.c_str());
        cr_expect(read.state == StartState::Started && read.market == Market::OnDemand);
        cr_expect(read.backendClass == "big" && read.zone == "ghent");
    }
}
