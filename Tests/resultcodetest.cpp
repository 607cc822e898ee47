#include "Core/sesamecore.h"

#include <criterion/criterion.h>

#include <fstream>
#include <regex>
#include <string>

using namespace sesame;

namespace {

int countRows(const std::string &path, bool compare)
{
    std::ifstream in(path);
    const std::regex row(R"(^\| (\d{4}) \| `(\w+)` \|)");
    std::string line;
    int n = 0;
    while (std::getline(in, line)) {
        std::smatch match;
        if (!std::regex_search(line, match, row))
            continue;
        ++n;
        const auto code = static_cast<ResultCode>(std::stoi(match[1]));
        if (compare)
            cr_expect_str_eq(std::string(toString(code)).c_str(), match[2].str().c_str());
    }
    return n;
}

int countCodesInHeader()
{
    std::ifstream in(PROJECT_DIRECTORY "/Source/Core/resultcode.h");
    const std::regex entry(R"(^\s+\w+ = 1\d{3})");
    std::string line;
    int n = 0;
    while (std::getline(in, line))
        n += std::regex_search(line, entry) ? 1 : 0;
    return n;
}

} // namespace

// Guards against a result code that is added or renamed without updating the documentation.
Test(resultcode, documentationListsAllCodes)
{
    const int rows = countRows(PROJECT_DIRECTORY "/docs/codes.md", true);
    cr_expect_eq(rows, countCodesInHeader());
}
