#include "Adapter/jsonsplitter.h"

#include <criterion/criterion.h>

using namespace sesame;

// Guards against one element that cannot be parsed making the others unreadable, and against commas
// and brackets in strings being taken for the structure.
Test(jsonsplitter, elementsAreSeparated)
{
    const auto elements = JsonSplitter::splitArray(R"( [ {"a":[1,2]} , "x,]\"", 1e999, [[ ]] ] )");
    cr_assert(elements.has_value());
    cr_assert_eq(elements->size(), 4U);
    cr_expect((*elements)[0] == R"({"a":[1,2]})");
    cr_expect((*elements)[1] == R"("x,]\"")");
    cr_expect((*elements)[2] == "1e999");
    const auto members = JsonSplitter::splitObject(R"({"a" : {"b":1}, "c":"}"})");
    cr_assert(members.has_value());
    cr_assert_eq(members->size(), 2U);
    cr_expect((*members)[0].key == "a" && (*members)[0].value == R"({"b":1})");
    cr_expect((*members)[1].key == "c" && (*members)[1].value == R"("}")");
    cr_expect(JsonSplitter::splitArray("[]")->empty());
    cr_expect(JsonSplitter::findMember(R"({"a":1,"b":[2]})", "b") == "[2]");
}

// Guards against reading beyond a text whose brackets or quotes are not balanced.
Test(jsonsplitter, unbalancedTextsAreRefused)
{
    for (const char *text : {"", "[", "]", "[1]]", "[[1]", "[\"a]", "[\"a\\\"]", "{}", "1"})
        cr_expect_not(JsonSplitter::splitArray(text).has_value(), "%s", text);
    for (const char *text : {"{1}", "{\"a\"}", "{\"a:1}", "[]"})
        cr_expect_not(JsonSplitter::splitObject(text).has_value(), "%s", text);
    cr_expect(JsonSplitter::findMember("[1]", "a").empty());
}

// Guards against a wrong name of an object that a parser rejects.
Test(jsonsplitter, stringsAreUnquoted)
{
    using namespace std::string_literals;
    cr_expect(JsonSplitter::unquote(R"("a\/b\\/\"\u00e9\n")") == "a/b\\/\"\xc3\xa9\n");
    cr_expect(JsonSplitter::unquote("\"\xff\n\\u0000x\"") == "\xff\n\0x"s);
    cr_expect(JsonSplitter::unquote("\"\"") == "");
    for (const char *text : {"", "\"", "a", "7", "\"a", "\"a\"b\"", "\"a\\\"", "\"\\ud800\""})
        cr_expect_not(JsonSplitter::unquote(text).has_value(), "%s", text);
}
