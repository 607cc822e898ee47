#include "platformstoreclient.h"
#include "emulatedstore.h"
#include "support/freeport.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

//! Names that other writers may give their objects. Each contains characters that have a meaning in
//! a query, a path or a request line.
const std::vector<std::string> oddNames {"x&y",       "x&sinceRevision=a",
                                         "x&watch=1", "x+y",
                                         "x#y",       "x%",
                                         "x%2",       "x%41",
                                         "x%2526",    "x y",
                                         " x",        "x ",
                                         "x=y",       "x;y",
                                         "x?y",       "x/y",
                                         "x/",        "/x",
                                         "x\"y",      "x\\y",
                                         "x\ty",      "x\r\nHost: y",
                                         "x\x01y",    "x\x7fy",
                                         "x:y@z",     "\xc3\xa9",
                                         "x,y",       "..",
                                         "x/../y",    "x/status",
                                         "status"};

/*!
    A client and the store that it calls.
*/
class StoreCalls
{
public:
    explicit StoreCalls(std::uint16_t port = freePort())
        : store(m_context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), port)),
          client(m_context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), port))
    {
    }

    /*!
        Returns the result of listing the objects of \a kind, or std::nullopt if that does not end.
    */
    std::optional<StoreReadResult> list(const std::string &kind)
    {
        const auto listed = std::make_shared<std::optional<StoreReadResult>>();
        client.list(kind, false, [listed](StoreReadResult result) {
            *listed = std::move(result);
        });
        return waitFor(*listed);
    }

    /*!
        Returns the same for a store that is restored after the first page.
    */
    std::optional<StoreReadResult> listDuringRestoration(const std::string &kind)
    {
        const auto listed = std::make_shared<std::optional<StoreReadResult>>();
        const std::int64_t before = store.callCount();
        store.takeCopy();
        client.list(kind, false, [listed](StoreReadResult result) {
            *listed = std::move(result);
        });
        m_context.restart();
        while (store.callCount() == before)
            m_context.run_one();
        store.restoreCopy(EmulatedStore::Writers::Late);
        return waitFor(*listed);
    }

    /*!
        Returns the status of the write that \a send starts with a completion handler, or
        std::nullopt if it does not end.
    */
    template <typename Send>
    std::optional<StoreCallStatus> write(Send send)
    {
        const auto status = std::make_shared<std::optional<StoreCallStatus>>();
        send([status](const StoreWriteResult &result) {
            *status = result.status;
        });
        return waitFor(*status);
    }

private:
    template <typename Result>
    std::optional<Result> waitFor(std::optional<Result> &result)
    {
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (!result && std::chrono::steady_clock::now() < end) {
            m_context.restart();
            m_context.run_for(1ms);
        }
        return result;
    }

    asio::io_context m_context {1};

public:
    EmulatedStore store;
    platform::PlatformStoreClient client;
};

/*!
    Adds objects on three pages to kind "k" and returns their names.
*/
std::set<std::string> putSoundObjects(EmulatedStore &store)
{
    std::set<std::string> names;
    for (int i = 1; i <= 9; ++i) {
        names.insert("m" + std::to_string(i));
        store.put("k", "m" + std::to_string(i), "{}");
    }
    return names;
}

std::set<std::string> namesOf(const std::vector<StoredObject> &objects)
{
    std::set<std::string> names;
    for (const StoredObject &object : objects)
        names.insert(object.name);
    return names;
}

} // namespace

// Guards against a list with pages from before and after the store was restored.
Test(platformstoreclient, listsOfTwoErasFail)
{
    StoreCalls calls;
    putSoundObjects(calls.store);
    const auto mixed = calls.listDuringRestoration("k");
    cr_assert(mixed);
    cr_expect(mixed->status == StoreCallStatus::Unknown);
    const auto listed = calls.list("k");
    cr_assert(listed);
    cr_expect(listed->status == StoreCallStatus::Ok);
    cr_expect_eq(listed->era, 2U);
}

// Guards against a list that ends at an object, or never ends, because of the object's name.
Test(platformstoreclient, listsContinueAfterOddNames)
{
    StoreCalls calls;
    for (const std::string &odd : oddNames) {
        // The odd object is the last one of its page, at each place in the list.
        for (const char *first : {"a", "z"}) {
            const std::string kind = "k" + std::to_string(&odd - oddNames.data()) + first;
            std::set<std::string> names {first + odd};
            for (int i = 1; i <= 2; ++i)
                names.insert(first + std::string(1, '\x01') + std::to_string(i));
            for (int i = 1; i <= 9; ++i)
                names.insert("m" + std::to_string(i));
            names.insert("zz");
            for (const std::string &name : names)
                calls.store.put(kind, name, "{}");
            const auto listed = calls.list(kind);
            cr_expect(listed && listed->status == StoreCallStatus::Ok, "\"%s\": the list fails",
                      odd.c_str());
            if (!listed)
                continue;
            cr_expect(namesOf(listed->objects) == names, "\"%s\": %zu of %zu objects", odd.c_str(),
                      namesOf(listed->objects).size(), names.size());
        }
    }
}

// Guards against a write that reaches another object than the one it names, or another kind, or
// adds a request of its own.
Test(platformstoreclient, writesReachOddNames)
{
    StoreCalls calls;
    std::set<std::string> names(oddNames.begin(), oddNames.end());
    names.erase("..");
    names.insert({"x", "xA", "x%A", "x y z"});
    for (const std::string &name : names)
        calls.store.put("k", name, R"({"n":0})");
    const JsonPtr content = parseJson(R"({"n":1})");
    for (const std::string &odd : oddNames) {
        if (odd == "..")
            continue;
        cr_expect(calls.write([&](auto done) {
            calls.client.replace("k", odd, content.get(), {}, done);
        }) == StoreCallStatus::Ok,
                  "\"%s\": not replaced", odd.c_str());
        cr_expect(calls.write([&](auto done) {
            calls.client.replaceStatus("k", odd, content.get(), done);
        }) == StoreCallStatus::Ok,
                  "\"%s\": no status", odd.c_str());
        const auto listed = calls.list("k");
        cr_assert(listed.has_value());
        for (const StoredObject &object : listed->objects) {
            const bool isOdd = object.name == odd;
            cr_expect(jsonInteger(object.content.get(), "n") == (isOdd ? 1 : 0),
                      "\"%s\" for \"%s\"", object.name.c_str(), odd.c_str());
            cr_expect((object.status != nullptr) == isOdd, "status of \"%s\" for \"%s\"",
                      object.name.c_str(), odd.c_str());
        }
        cr_expect(calls.write([&](auto done) {
            calls.client.remove("k", odd, done);
        }) == StoreCallStatus::Ok,
                  "\"%s\": not removed", odd.c_str());
        names.erase(odd);
        cr_expect(namesOf(calls.list("k")->objects) == names, "others than \"%s\" were removed",
                  odd.c_str());
    }
}

// Guards against a write to the path of a kind or of all objects, which some servers read from such
// names.
Test(platformstoreclient, writesToNamesWithoutAPathAreRefused)
{
    StoreCalls calls;
    const JsonPtr content = parseJson("{}");
    for (const char *name : {"", ".", ".."}) {
        calls.store.put("k", name, "{}");
        const std::int64_t callsBefore = calls.store.callCount();
        cr_expect(calls.write([&](auto done) {
            calls.client.remove("k", name, done);
        }) == StoreCallStatus::Refused,
                  "\"%s\"", name);
        cr_expect(calls.write([&](auto done) {
            calls.client.replace("k", name, content.get(), {}, done);
        }) == StoreCallStatus::Refused,
                  "\"%s\"", name);
        cr_expect(calls.write([&](auto done) {
            calls.client.replaceStatus("k", name, content.get(), done);
        }) == StoreCallStatus::Refused,
                  "\"%s\"", name);
        cr_expect_eq(calls.store.callCount(), callsBefore, "\"%s\"", name);
        cr_expect_eq(calls.store.objectCount("k"), 1U);
        calls.store.erase("k", name);
    }
}

// Guards against an entry without a name being taken for an object with an empty one.
Test(platformstoreclient, entriesWithoutANameAreNoObjects)
{
    StoreCalls calls;
    const std::vector<std::string> texts {"null",
                                          "7",
                                          "{}",
                                          R"({"spec":{}})",
                                          R"({"metadata":{"revision":5},"spec":{}})",
                                          R"({"metadata":{"name":7},"spec":{}})",
                                          R"({"metadata":{"name":""},"spec":{}})"};
    for (std::size_t i = 0; i < texts.size(); ++i)
        calls.store.putText("k" + std::to_string(i), "a", texts[i]);
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const auto listed = calls.list("k" + std::to_string(i));
        cr_assert(listed.has_value(), "%s", texts[i].c_str());
        cr_expect(listed->objects.empty(), "%s", texts[i].c_str());
    }
}

// Guards against an entry that cannot be read ending the reading of the others, or keeping the list
// from ending.
Test(platformstoreclient, listsContinueAfterUnreadableEntries)
{
    const std::vector<std::string> texts {"null",
                                          "7",
                                          "[]",
                                          "{}",
                                          R"({"metadata":null})",
                                          R"({"metadata":{"revision":5}})",
                                          R"({"metadata":{"name":7}})",
                                          R"({"metadata":{"name":""}})",
                                          R"({"metadata":{"name":"m2","name":"m5"}})",
                                          R"({"metadata":{"name":"m2"},"metadata":{"name":"m5"}})",
                                          R"({"metadata":{"name":"\u0000"}})",
                                          R"({"metadata":{"name":"\ud800"}})",
                                          "{\"metadata\":{\"name\":\"\xff\"}}",
                                          R"({"metadata":{"name":"m2","revision":1e999}})"};
    for (const std::string &text : texts) {
        StoreCalls calls;
        const std::set<std::string> names = putSoundObjects(calls.store);
        calls.store.putText("k", "m2x", text);
        const auto listed = calls.list("k");
        cr_expect(listed && listed->status == StoreCallStatus::Ok && listed->isComplete,
                  "%s: the list fails", text.c_str());
        cr_expect(listed && namesOf(listed->objects) == names, "%s", text.c_str());
    }
}

// Guards against a list that ends at pages which have no readable entry, although the entries have
// names.
Test(platformstoreclient, listsContinueAfterUnreadablePages)
{
    using namespace std::string_literals;
    struct Odd
    {
        std::string begin; //!< Of the names.
        std::string text; //!< The same as JSON.
        std::string more; //!< Other members of the metadata.
    };
    const std::vector<Odd> odds {{"m2\0"s, "m2\\u0000", ""},
                                 {"m2\xff", "m2\xff", ""},
                                 {"m2\n", "m2\n", ""},
                                 {"m2\\/\"\xff", "m2\\\\\\/\\\"\xff", ""},
                                 {"m2x", "m2x", R"(,"revision":1e999)"},
                                 {"m2x", "m2x", R"(,"created":1,"created":1)"}};
    for (const Odd &odd : odds) {
        for (const int count : {3, 6, 7}) {
            StoreCalls calls;
            const std::set<std::string> names = putSoundObjects(calls.store);
            for (int i = 0; i < count; ++i) {
                const std::string n = std::to_string(i);
                calls.store.putText("k", odd.begin + n,
                                    R"({"metadata":{"name":")" + odd.text + n + "\"" + odd.more
                                            + "}}");
            }
            const auto listed = calls.list("k");
            cr_expect(listed && listed->status == StoreCallStatus::Ok && listed->isComplete,
                      "%d of %s: the list fails", count, odd.text.c_str());
            cr_expect(listed && namesOf(listed->objects) == names, "%d of %s", count,
                      odd.text.c_str());
        }
    }
}

// Guards against a list that is taken for complete, or asked for without end, although no entry of
// a page can be named.
Test(platformstoreclient, listsThatCannotContinueAreIncomplete)
{
    StoreCalls calls;
    putSoundObjects(calls.store);
    for (int i = 0; i < 3; ++i)
        calls.store.putText("k", "m2x" + std::to_string(i), "{}");
    const auto listed = calls.list("k");
    cr_assert(listed.has_value());
    cr_expect(listed->status == StoreCallStatus::Ok);
    cr_expect_not(listed->isComplete);
    const std::set<std::string> names {"m1", "m2"};
    cr_expect(namesOf(listed->objects) == names);
}

// Guards against a long name that makes the request for the next page too long for a server.
Test(platformstoreclient, listsContinueBeforeLongNames)
{
    StoreCalls calls;
    std::set<std::string> names = putSoundObjects(calls.store);
    constexpr std::size_t longName = 100'000;
    names.insert("m2" + std::string(longName, 'x'));
    calls.store.put("k", "m2" + std::string(longName, 'x'), "{}");
    const auto listed = calls.list("k");
    cr_assert(listed.has_value());
    cr_expect(listed->status == StoreCallStatus::Ok && listed->isComplete);
    cr_expect(namesOf(listed->objects) == names);
}
