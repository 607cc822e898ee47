#include "Core/sesamecore.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sesame;

namespace {

std::vector<SseEvent> parse(const std::vector<std::string> &parts)
{
    SseParser parser;
    std::vector<SseEvent> events;
    for (const std::string &part : parts)
        parser.feed(part, [&events](const SseEvent &event) {
            events.push_back(event);
        });
    return events;
}

std::string describe(const std::vector<SseEvent> &events)
{
    std::string text;
    for (const SseEvent &event : events)
        text.append(event.type).append("|").append(event.id).append("|").append(event.data) += ";";
    return text;
}

void expectEvents(const std::vector<std::string> &parts, const std::string &expected)
{
    const std::string found = describe(parse(parts));
    cr_assert(found == expected, "found %s expected %s", found.c_str(), expected.c_str());
}

} // namespace

// Guards against events that are lost or changed when the network splits them at any byte.
Test(sseparser, eventsDoNotDependOnPartSizes)
{
    const std::string body = ": waiting\r\n\r\nid: 7\r\ndata: a b\r\ndata:c\r\n\r\n"
                             "event: moved\ndata: {\"x\":1}\n\nid: 8\rdata: d\r\rdata: [DONE]\n\n";
    const std::string expected = "message|7|a b\nc;moved||{\"x\":1};message|8|d;message||[DONE];";
    expectEvents({body}, expected);
    for (std::size_t n = 0; n <= body.size(); ++n)
        expectEvents({body.substr(0, n), body.substr(n)}, expected);
    std::vector<std::string> single;
    for (const char c : body)
        single.emplace_back(1, c);
    expectEvents(single, expected);
}

// Guards against treating an incomplete last event as complete.
Test(sseparser, incompleteEventIsNotPassedOn)
{
    cr_assert(parse({"id: 1\ndata: cut"}).empty());
    cr_assert(parse({"id: 1\ndata: cut\n"}).empty());
    cr_assert(parse({"id: 1\n\n"}).empty());
}

// Guards against an id that is carried over to the next event, whose token would then be dropped as
// a duplicate.
Test(sseparser, idBelongsToOneEvent)
{
    expectEvents({"id: 1\ndata: a\n\ndata: b\n\n"}, "message|1|a;message||b;");
    expectEvents({"id: 1\n\ndata: b\n\n"}, "message||b;");
}

// Guards against an engine that exhausts memory with one line or one event without an end.
Test(sseparser, limitsEndParsing)
{
    SseParser endlessLine(16);
    const auto ignore = [](const SseEvent &) {};
    cr_assert(endlessLine.feed("data: 0123456789", ignore));
    cr_assert_not(endlessLine.feed("x", ignore));
    cr_assert_not(endlessLine.feed("\n\n", ignore));
    SseParser endlessEvent(16);
    cr_assert(endlessEvent.feed("data: 01234567\n", ignore));
    cr_assert_not(endlessEvent.feed("data: 01234567\n", ignore));
}
