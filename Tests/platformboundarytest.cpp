#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

// Guards against names of the platform being used outside the platform folder.
Test(platformboundary, platformNamesAreConfinedToPlatformFolder)
{
    const std::vector<std::string> names {"Sesameproxy-", "/api/objects",          "/api/resolve",
                                          "/api/readyz",  "SESAMEPROXY_NODE_FILE", "Kv-From",
                                          "trafficSplit", "streamResume",          "apiKeys",
                                          "warmupLeftMs", "desiredCount",          "windowId",
                                          "zonePrices\"", "maxAttempts\"",         "pathPrefix\""};
    const std::filesystem::path source = std::filesystem::path(PROJECT_DIRECTORY) / "Source";
    int files = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(source)) {
        if (!entry.is_regular_file())
            continue;
        ++files;
        const std::string text = readFile(entry.path());
        for (const std::string &name : names)
            cr_expect(text.find(name) == std::string::npos, "%s names %s", entry.path().c_str(),
                      name.c_str());
    }
    cr_expect_gt(files, 100);
}

// Guards against the platform folder growing beyond names and formats.
Test(platformboundary, platformFolderStaysSmall)
{
    const auto countLines = [](const std::string &folder) {
        std::ptrdiff_t lines = 0;
        const auto path = std::filesystem::path(PROJECT_DIRECTORY) / folder;
        for (const auto &entry : std::filesystem::recursive_directory_iterator(path)) {
            if (!entry.is_regular_file())
                continue;
            const std::string text = readFile(entry.path());
            lines += std::count(text.begin(), text.end(), '\n');
        }
        return lines;
    };
    cr_expect_lt(countLines("platform") * 10, countLines("Source"));
}
