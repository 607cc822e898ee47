#include "Core/sesamecore.h"
#include "Core/tomlreader.h"
#include "commands.h"
#include "textfile.h"

#include <cstdio>

namespace sesame {

namespace {

/*!
    A fleet file has tables at its top level, node settings have only values.
*/
bool isFleetFile(const toml::table &root)
{
    for (const auto &[key, node] : root) {
        if (node.is_table() || node.is_array_of_tables())
            return true;
    }
    return false;
}

int runCheckCommand(std::span<const std::string> arguments)
{
    const std::string &path = arguments[0];
    const std::optional<std::string> text = readTextFile(path);
    if (!text)
        return ExitUsage;
    std::vector<SettingsError> errors;
    const auto root = parseToml(*text, {.file = path, .errors = errors});
    const char *kind = "file";
    if (root && isFleetFile(*root)) {
        kind = "fleet file";
        parseFleetFile(*text, path, errors);
    } else if (root) {
        kind = "node settings";
        parseNodeSettings(*text, path, errors);
    }
    printErrors(errors);
    if (!errors.empty()) {
        std::fprintf(stderr, "%s: errors in %s: %zu\n", path.c_str(), kind, errors.size());
        return ExitUsage;
    }
    std::printf("%s: valid %s\n", path.c_str(), kind);
    return ExitSuccess;
}

} // namespace

Command checkCommand()
{
    return {.name = "check",
            .synopsis = "FILE",
            .help = "Checks a fleet file or the settings of a node and prints every error.\n",
            .argumentCount = 1,
            .flags = {},
            .run = runCheckCommand};
}

} // namespace sesame
