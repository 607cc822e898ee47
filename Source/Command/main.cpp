#include "commands.h"

#include <string>
#include <vector>

int main(int argc, char *argv[])
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::vector<sesame::Command> commands {
            sesame::serveCommand(),      sesame::servePlatformCommand(), sesame::checkCommand(),
            sesame::applyCommand(),      sesame::statusCommand(),        sesame::drainCommand(),
            sesame::reportBurnCommand(), sesame::explainCommand()};
    return sesame::runCommandLine(commands, words);
}
