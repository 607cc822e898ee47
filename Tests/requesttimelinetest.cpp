#include "Adapter/requesttimeline.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace sesame;

namespace {

/*!
    Temporary log files that are removed when the test ends.
*/
class TemporaryLogs
{
public:
    TemporaryLogs()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "timelinetest.XXXXXX";
        cr_assert_not_null(mkdtemp(pattern.data()));
        m_directory = pattern;
    }
    ~TemporaryLogs() { std::filesystem::remove_all(m_directory); }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::string path = m_directory + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

private:
    std::string m_directory;
};

std::string formatLine(int millis, const std::string &node, const std::string &event,
                       const std::string &more)
{
    return "{\"time_unix_ms\":" + std::to_string(1000000 + millis)
            + ",\"level\":\"info\",\"node\":\"" + node + "\",\"event\":\"" + event + "\"" + more
            + "}\n";
}

} // namespace

// Guards against lines in the wrong order because the clock of one node is wrong.
Test(requesttimeline, linesAreOrderedByTrueTime)
{
    const TemporaryLogs logs;
    RequestTimeline timeline("r-1");
    cr_assert(timeline.addLog(logs.write(
            "a",
            formatLine(0, "a", "request.sent", R"(,"request":"r-1","engine":"i-7")")
                    + "collector prefix "
                    + formatLine(
                            40, "a", "request.finished",
                            R"(,"request":"r-1","status":0,"outcome":"the engine broke off")"))));
    cr_assert(timeline.addLog(logs.write(
            "b",
            formatLine(0, "b", "clock.offset", R"(,"offset_ms":-5000)")
                    + formatLine(5020, "b", "engine.left", R"(,"engine":"i-7","removed":true)"))));
    const std::string text = timeline.format();
    const std::size_t sent = text.find("request.sent");
    const std::size_t left = text.find("engine.left");
    const std::size_t finished = text.find("request.finished");
    cr_assert_neq(left, std::string::npos, "%s", text.c_str());
    cr_expect_lt(sent, left);
    cr_expect_lt(left, finished);
    cr_expect_neq(text.find("no final answer, the engine broke off; engines: i-7"),
                  std::string::npos);
}

// Guards against listing lines of unrelated requests and engines, which hide the cause.
Test(requesttimeline, onlyRelevantLinesAreListed)
{
    const TemporaryLogs logs;
    RequestTimeline timeline("r-1");
    cr_assert(timeline.addLog(logs.write(
            "a",
            formatLine(0, "a", "config.adopted", R"(,"version":3)")
                    + formatLine(1, "a", "request.sent", R"(,"request":"r-2","engine":"i-7")")
                    + formatLine(2, "a", "request.sent", R"(,"request":"r-1","engine":"i-7")")
                    + formatLine(3, "a", "engine.left", R"(,"engine":"i-8")")
                    + formatLine(4, "a", "engine.exchange_failed",
                                 R"(,"request":"r-2","engine":"i-7")")
                    + formatLine(90000, "a", "engine.left", R"(,"engine":"i-7")")
                    + "no JSON {\n")));
    const std::string text = timeline.format();
    cr_expect_neq(text.find("config.adopted"), std::string::npos);
    cr_expect_neq(text.find("engine.exchange_failed"), std::string::npos);
    cr_expect_eq(text.find("engine.left"), std::string::npos, "%s", text.c_str());
    cr_expect_eq(text.find("r-2"), std::string::npos);
    cr_expect_neq(text.find("not finished in these logs"), std::string::npos);
}

// Guards against treating a missing log file as a log without lines of the request.
Test(requesttimeline, missingFilesAreReported)
{
    RequestTimeline timeline("r-1");
    cr_expect_not(timeline.addLog("/nonexistent/log"));
    cr_expect(timeline.isEmpty());
}

// Guards against a logged name or value that adds lines of its own, or controls the terminal.
Test(requesttimeline, controlCharactersAreEscaped)
{
    const TemporaryLogs logs;
    RequestTimeline timeline("r-1");
    cr_assert(timeline.addLog(logs.write(
            "a",
            formatLine(0, "a\\u001b[2J", "request.sent\\u0007",
                       R"(,"request":"r-1","engine":"i\n* +0 ms forged\u001b[2J")")
                    + formatLine(5, "a", "request.finished",
                                 R"(,"request":"r-1","status":200,"outcome":"x\r\u007f\ny")"))));
    const std::string text = timeline.format();
    cr_expect(std::all_of(text.begin(), text.end(),
                          [](unsigned char c) {
                              return c == '\n' || (c >= ' ' && c != 0x7f);
                          }),
              "%s", text.c_str());
    cr_expect_eq(std::count(text.begin(), text.end(), '\n'), 3, "%s", text.c_str());
}
