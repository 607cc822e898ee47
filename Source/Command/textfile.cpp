#include "textfile.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace sesame {

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (in) {
        std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        if (!in.bad())
            return text;
    }
    std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
    return std::nullopt;
}

void printErrors(const std::vector<SettingsError> &errors)
{
    for (const SettingsError &error : errors)
        std::fprintf(stderr, "%s\n", error.format().c_str());
}

} // namespace sesame
