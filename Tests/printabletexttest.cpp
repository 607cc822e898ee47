#include "Core/printabletext.h"
#include "Core/burnreport.h"
#include "Core/linedifference.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sesame;

// Guards against a name or value of another writer that controls the operator's terminal.
Test(printabletext, controlCharactersAreEscaped)
{
    cr_expect(escapeControls("a\tb \xc3\xa9 &+#%\"\\") == "a\tb \xc3\xa9 &+#%\"\\");
    cr_expect(escapeControls("\x1b[2J\r\n\x7f") == R"(\u001b[2J\u000d\u000a\u007f)");
    cr_expect(escapeControls("x\xc2\x9bz\xc2\xa0") == "x\\u009bz\xc2\xa0");
    cr_expect(escapeControls("\xc2") == "\xc2");
}

// Guards against the same in the lines of a stored fleet file that "apply" shows.
Test(printabletext, differencesHaveNoControlCharacters)
{
    const std::string text = lineDifference("a\nx\x1b[2J\r\n", "a\ny\n", 10);
    cr_expect_str_eq(text.c_str(), "- x\\u001b[2J\\u000d\n+ y\n");
}

// Guards against a route of a node's answer that adds a line to the report.
Test(printabletext, routesAddNoLinesToTheBurnReport)
{
    BurnReport plain;
    plain.rows.push_back({.route = "/a"});
    BurnReport odd;
    odd.rows.push_back({.route = "/a\nforged\x1b[2J"});
    const std::string text = formatBurnReport(odd);
    const std::string expected = formatBurnReport(plain);
    cr_expect_eq(std::count(text.begin(), text.end(), '\n'),
                 std::count(expected.begin(), expected.end(), '\n'));
    cr_expect_eq(text.find('\x1b'), std::string::npos);
}
