#include "support/fuzztargets.h"
#include "support/processgroup.h"

#include <criterion/criterion.h>

#include <chrono>
#include <filesystem>
#include <random>
#include <vector>

using namespace sesame::test;

// A short run of each fuzz target from its examples; scripts/fuzz runs them for longer with
// libFuzzer. Inputs follow from the seed, so that a run that fails can be repeated.

namespace {

constexpr std::uint32_t seed = 20261204;
constexpr int inputsOfParser = 100000;
//! Targets that exchange bytes over a socket take about a tenth of a millisecond an input.
constexpr int inputsOfExchange = 8000;

std::vector<std::string> readCorpus(const std::string &target)
{
    std::vector<std::string> corpus;
    const std::string folder = std::string(PROJECT_DIRECTORY) + "/Tests/corpus/" + target;
    const std::filesystem::directory_iterator entries(folder);
    std::vector<std::filesystem::path> files(begin(entries), end(entries));
    // The order of a folder is not the same on all machines.
    std::sort(files.begin(), files.end());
    corpus.reserve(files.size());
    for (const auto &file : files)
        corpus.push_back(readFile(file));
    return corpus;
}

class Mutator
{
public:
    explicit Mutator(std::vector<std::string> corpus) : m_corpus(std::move(corpus)) { }

    std::string next()
    {
        std::string input = pick();
        const int changes = 1 + number(4);
        for (int i = 0; i < changes; ++i)
            change(input);
        return input;
    }

private:
    int number(int below)
    {
        return static_cast<int>(m_random() % static_cast<std::uint32_t>(std::max(1, below)));
    }

    const std::string &pick()
    {
        return m_corpus[static_cast<std::size_t>(number(static_cast<int>(m_corpus.size())))];
    }

    void change(std::string &input)
    {
        constexpr int kinds = 6;
        const auto at = static_cast<std::size_t>(number(static_cast<int>(input.size()) + 1));
        const auto length = static_cast<std::size_t>(number(16));
        switch (number(kinds)) {
        case 0:
            input.insert(at, 1, static_cast<char>(number(256)));
            break;
        case 1:
            input.erase(at, length);
            break;
        case 2:
            if (at < input.size())
                input[at] = static_cast<char>(number(256));
            break;
        case 3:
            input.insert(at, input.substr(at / 2, length));
            break;
        case 4:
            input.insert(at, std::to_string(static_cast<std::int64_t>(m_random()) - (1LL << 31)));
            break;
        default: {
            const std::string &other = pick();
            input.insert(at, other.substr(std::min(at, other.size()), length));
        }
        }
    }

    std::vector<std::string> m_corpus;
    std::mt19937 m_random {seed};
};

void runTarget(const std::string &name, int inputs)
{
    const FuzzTarget &feed = fuzzTargets().at(name);
    const std::vector<std::string> corpus = readCorpus(name);
    cr_assert_not(corpus.empty());
    for (const std::string &input : corpus)
        feed(input);
    feed("");
    Mutator mutator(corpus);
    for (int i = 0; i < inputs; ++i)
        feed(mutator.next());
}

} // namespace

// Each guards against bytes from outside that end the process, hang it or are half understood.
Test(fuzz, settings)
{
    runTarget("settings", inputsOfExchange);
}

Test(fuzz, configuration)
{
    runTarget("configuration", inputsOfParser);
}

Test(fuzz, engine)
{
    runTarget("engine", inputsOfParser);
}

Test(fuzz, events)
{
    runTarget("events", inputsOfParser);
}

Test(fuzz, report)
{
    runTarget("report", inputsOfParser);
}

Test(fuzz, request)
{
    runTarget("request", inputsOfExchange);
}

Test(fuzz, answer)
{
    runTarget("answer", inputsOfExchange);
}

Test(fuzz, store)
{
    runTarget("store", inputsOfExchange);
}
