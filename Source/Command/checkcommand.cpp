#include "Core/sesamecore.h"
#include "Core/tomlreader.h"
#include "commands.h"
#include "platformsettings.h"
#include "textfile.h"

#include <cstdio>

namespace sesame {

namespace {

/*!
    Returns whether \a root is a fleet file. A fleet file has tables at its top level, whereas the
    settings of a node consist of plain values only.
*/
bool isFleetFile(const toml::table &root)
{
    for (const auto &[key, node] : root) {
        if (node.is_table() || node.is_array_of_tables())
            return true;
    }
    return false;
}

/*!
    Returns whether \a path has the file name extension of YAML. The platform writes the settings of
    its nodes in YAML, and all other files of this program are TOML.
*/
bool isPlatformFile(std::string_view path)
{
    return path.ends_with(".yaml") || path.ends_with(".yml");
}

int reportCheck(const std::string &path, const char *kind, const std::vector<SettingsError> &errors)
{
    printErrors(errors);
    if (!errors.empty()) {
        std::fprintf(stderr, "%s: errors in %s: %zu\n", path.c_str(), kind, errors.size());
        return ExitUsage;
    }
    std::printf("%s: valid %s\n", path.c_str(), kind);
    return ExitSuccess;
}

int runCheckCommand(std::span<const std::string> arguments)
{
    const std::string &path = arguments[0];
    const std::optional<std::string> text = readTextFile(path);
    if (!text)
        return ExitUsage;
    std::vector<SettingsError> errors;
    if (isPlatformFile(path)) {
        platform::readSettings(*text, path, errors);
        return reportCheck(path, "platform settings", errors);
    }
    const auto root = parseToml(*text, {.file = path, .errors = errors});
    const char *kind = "file";
    if (root && isFleetFile(*root)) {
        kind = "fleet file";
        parseFleetFile(*text, path, errors);
    } else if (root) {
        kind = "node settings";
        parseNodeSettings(*text, path, errors);
    }
    return reportCheck(path, kind, errors);
}

} // namespace

Command checkCommand()
{
    return {.name = "check",
            .synopsis = "FILE",
            .help
            = "Checks a fleet file, a node's settings file or, if its name ends in .yaml or .yml, "
              "the\nsettings file of a platform node, and prints every error.\n",
            .argumentCount = 1,
            .flags = {},
            .run = runCheckCommand};
}

} // namespace sesame
