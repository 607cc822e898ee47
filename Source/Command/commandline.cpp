#include "commandline.h"

#include "Node/sesamenode.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <cstdio>
#include <optional>

namespace sesame {

namespace {

constexpr std::string_view programName = "sesameproxy";

//! Converts to Abseil's string view: Debian builds Abseil with a string_view type of its own.
absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

void print(std::FILE *out, const std::string &text)
{
    std::fwrite(text.data(), 1, text.size(), out);
}

int failUsage(const std::string &text)
{
    print(stderr, std::string(programName) + ": " + text + "\n");
    return ExitUsage;
}

std::string formatSynopsis(const Command &command)
{
    return std::string(programName) + " " + std::string(command.name) + " "
            + std::string(command.synopsis) + "\n";
}

void printOverview(std::FILE *out, std::span<const Command> commands)
{
    std::string text = "Usage:\n";
    for (const Command &command : commands)
        text += "  " + formatSynopsis(command);
    text += "\nsesameproxy COMMAND --help describes a command, sesameproxy --version prints the "
            "version.\nExit codes: 0 success, 1 failure, 2 invalid settings or usage, 3 "
            "conflict.\n";
    print(out, text);
}

void printHelp(const Command &command)
{
    std::string text = "Usage: " + formatSynopsis(command) + "\n" + std::string(command.help);
    for (std::string_view name : command.flags) {
        const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(toAbsl(name));
        if (flag)
            text += "\n  --" + std::string(name) + "\n      " + flag->Help() + "\n";
    }
    print(stdout, text);
}

/*!
    Returns the number of words in the command name \a name if \a words start with it, otherwise 0.
*/
std::size_t matchName(std::string_view name, std::span<const std::string> words)
{
    std::size_t n = 0;
    while (!name.empty()) {
        const std::string_view word = name.substr(0, name.find(' '));
        name.remove_prefix(std::min(name.size(), word.size() + 1));
        if (n >= words.size() || words[n] != word)
            return 0;
        ++n;
    }
    return n;
}

/*!
    Parses the flag at words[index] and sets its value. If the value is the next word, \a index is
    advanced to it. Returns the error message if the flag is unknown or its value is not valid.

    Abseil's own parser is not used because it exits with code 1 after an invalid flag and accepts
    the flags of all commands. Usage errors must lead to exit code 2.
*/
std::optional<std::string> parseFlag(const Command &command, std::span<const std::string> words,
                                     std::size_t &index)
{
    const std::string_view word = std::string_view(words[index]).substr(2);
    const std::size_t equals = word.find('=');
    const std::string_view name = word.substr(0, equals);
    const bool known = std::find(command.flags.begin(), command.flags.end(), name)
            != command.flags.end();
    absl::CommandLineFlag *flag = known ? absl::FindCommandLineFlag(toAbsl(name)) : nullptr;
    if (!flag)
        return "unknown flag --" + std::string(name);
    std::string_view value = "true";
    if (equals != std::string_view::npos) {
        value = word.substr(equals + 1);
    } else if (!flag->IsOfType<bool>()) {
        if (index + 1 >= words.size())
            return "--" + std::string(name) + " needs a value";
        value = words[++index];
    }
    std::string error;
    if (flag->ParseFrom(toAbsl(value), &error))
        return std::nullopt;
    return "--" + std::string(name) + ": " + error;
}

int runCommand(const Command &command, std::span<const std::string> words)
{
    std::vector<std::string> arguments;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == "--help") {
            printHelp(command);
            return ExitSuccess;
        }
        if (!words[i].starts_with("--")) {
            arguments.push_back(words[i]);
            continue;
        }
        if (const auto error = parseFlag(command, words, i))
            return failUsage(*error);
    }
    const bool hasValidArgumentCount = command.acceptsMoreArguments
            ? arguments.size() >= command.argumentCount
            : arguments.size() == command.argumentCount;
    if (!hasValidArgumentCount)
        return failUsage("usage: " + formatSynopsis(command));
    return command.run(arguments);
}

} // namespace

int runCommandLine(std::span<const Command> commands, std::span<const std::string> words)
{
    if (words.empty() || words[0] == "--help") {
        printOverview(words.empty() ? stderr : stdout, commands);
        return words.empty() ? ExitUsage : ExitSuccess;
    }
    if (words[0] == "--version") {
        print(stdout, std::string(programName) + " " + std::string(nodeVersion()) + "\n");
        return ExitSuccess;
    }
    for (const Command &command : commands) {
        const std::size_t n = matchName(command.name, words);
        if (n > 0)
            return runCommand(command, words.subspan(n));
    }
    printOverview(stderr, commands);
    return failUsage("unknown command " + words[0]);
}

} // namespace sesame
