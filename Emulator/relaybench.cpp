#include "emulatedplatform.h"
#include "support/processgroup.h"

#include "Http/clientconnection.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

ABSL_FLAG(std::string, binary, "build/Source/sesameproxy", "Path of the measured program.");
ABSL_FLAG(int, first_port, 21900, "First loopback port.");
ABSL_FLAG(int, streams, 400, "Number of simultaneously open streams.");
ABSL_FLAG(int, seconds, 12, "Duration of the stream measurement in seconds.");

namespace {

using namespace sesame;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds eventInterval = 57ms;
//! With this many events, a stream ends well before the emulated route's timeout of 3 s.
constexpr int eventsPerStream = 40;
constexpr int firstEventSampleCount = 500;
constexpr std::chrono::milliseconds sampleInterval = 20ms;
constexpr int closeSampleCount = 100;
//! Every engine, and the node's share of its connections, can hold all streams.
constexpr int connectionsPerEngine = 250;

double toMs(Clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

//! Returns the processor time that process \a pid has used, in seconds.
double readProcessorSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    // The fields after the program's name are the state and ten others, followed by the two times.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int skippedFieldCount = 11;
    std::string skipped;
    for (int i = 0; i < skippedFieldCount; ++i)
        fields >> skipped;
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

//! Returns the resident memory of process \a pid in KiB.
long readResidentKib(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::strtol(line.c_str() + line.find(':') + 1, nullptr, 10);
    }
    return 0;
}

/*!
    One stream of a caller. Counts its events and measures the time to the first one.
*/
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    explicit Stream(boost::asio::io_context &context)
        : m_connection(std::make_shared<ClientConnection>(context))
    {
    }

    void open(const Tcp::endpoint &address, const std::string &id,
              std::function<void(Stream &)> first, std::function<void(bool)> ended)
    {
        m_first = std::move(first);
        m_ended = std::move(ended);
        m_connection->connect(address, 1s, [self = shared_from_this(), id](const auto &ec) {
            if (ec)
                self->m_ended(false);
            else
                self->send(id);
        });
    }

    void close() { m_connection->close(); }
    int eventCount() const { return m_eventCount; }
    Clock::duration firstEventTime() const { return m_firstEventTime; }

private:
    void send(const std::string &id)
    {
        HttpFields fields;
        fields.set("Host", "app.example");
        fields.set("Sesameproxy-Attempt-Id", id);
        fields.set("Authorization", "Token key-large");
        fields.set("Sesameproxy-Deadline-Ms", "3000");
        m_start = Clock::now();
        const auto self = shared_from_this();
        m_connection->send(formatRequest("POST", "/stream/a", fields, "p"), false,
                           {.head =
                                    [](const ResponseHead &head) {
                                        return head.result_int() == 200
                                                ? ResponseSink::Verdict::Take
                                                : ResponseSink::Verdict::Skip;
                                    },
                            .body =
                                    [self](std::string_view piece) {
                                        self->receiveData(piece);
                                    },
                            .done =
                                    [self] {
                                        self->close();
                                        self->m_ended(true);
                                    },
                            .failed =
                                    [self](ExchangeFailure) {
                                        self->m_ended(false);
                                    }});
    }

    void receiveData(std::string_view piece)
    {
        if (m_eventCount == 0)
            m_firstEventTime = Clock::now() - m_start;
        for (std::size_t at = 0; (at = piece.find("\n\n", at)) != std::string_view::npos; at += 2)
            ++m_eventCount;
        if (m_first)
            std::exchange(m_first, nullptr)(*this);
    }

    std::shared_ptr<ClientConnection> m_connection;
    std::function<void(Stream &)> m_first;
    std::function<void(bool)> m_ended;
    Clock::time_point m_start;
    Clock::duration m_firstEventTime {};
    int m_eventCount = 0;
};

/*!
    Runs one node as a process, and the emulated platform and the callers in this process.
*/
class RelayBench
{
public:
    explicit RelayBench(std::uint16_t firstPort)
        : m_platform(m_context, firstPort,
                     {.slots = connectionsPerEngine, .connections = connectionsPerEngine}),
          m_engineAddress(m_platform.engineEndpoint(0))
    {
        std::string pattern = std::filesystem::temp_directory_path() / "relaybench.XXXXXX";
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("no temporary directory");
        m_directory = pattern;
        const std::string file = m_directory + "/node.yaml";
        std::ofstream(file) << m_platform.formatSettings(1);
        setenv("SESAMEPROXY_NODE_FILE", file.c_str(), 1);
        m_node = m_processes.start({absl::GetFlag(FLAGS_binary), "serve-platform"},
                                   m_directory + "/node.log");
        // The node needs this time to list its engines and peers.
        runFor(2s);
    }

    ~RelayBench() { std::filesystem::remove_all(m_directory); }

    void measureFirstEventTimes()
    {
        setEventCount(1);
        std::array<std::vector<double>, 2> times;
        for (int i = 0; i < firstEventSampleCount; ++i) {
            for (std::size_t path = 0; path < times.size(); ++path) {
                const Tcp::endpoint address = path == 0 ? m_engineAddress
                                                        : m_platform.entryAddress(1);
                std::make_shared<Stream>(m_context)->open(
                        address, nextId(),
                        [&times, path](Stream &stream) {
                            times[path].push_back(toMs(stream.firstEventTime()));
                        },
                        [](bool) {});
                runFor(sampleInterval / 2);
            }
        }
        std::printf("first event, %d requests each: direct p50 %.2f p95 %.2f ms, "
                    "through the node p50 %.2f p95 %.2f ms\n",
                    firstEventSampleCount, percentile(times[0], 0.5), percentile(times[0], 0.95),
                    percentile(times[1], 0.5), percentile(times[1], 0.95));
    }

    void measureStreams(int streams, std::chrono::seconds time)
    {
        setEventCount(eventsPerStream);
        const long memoryBefore = readResidentKib(m_node);
        for (int i = 0; i < streams; ++i) {
            startRepeatedStream();
            // The starts are spread over one interval between events.
            runFor(std::chrono::duration_cast<std::chrono::microseconds>(eventInterval) / streams);
        }
        runFor(1s);
        const long memoryDuring = readResidentKib(m_node);
        const int eventsBefore = m_eventCount;
        const int completeBefore = m_completeCount;
        const double processorSecondsBefore = readProcessorSeconds(m_node);
        const auto start = Clock::now();
        runFor(time);
        const double seconds = toMs(Clock::now() - start) / 1000.0;
        const double cores = (readProcessorSeconds(m_node) - processorSecondsBefore) / seconds;
        const double perSecond = (m_eventCount - eventsBefore) / seconds;
        std::printf("%d open streams, new ones after %d events each: %.0f events/s, node %.3f "
                    "cores, %.1f us per event with its part of the requests and control work\n",
                    streams, eventsPerStream, perSecond, cores, 1e6 * cores / perSecond);
        std::printf("memory: %ld to %ld KiB, %.1f KiB per stream; %d streams complete, %d failed\n",
                    memoryBefore, memoryDuring,
                    static_cast<double>(memoryDuring - memoryBefore) / streams,
                    m_completeCount - completeBefore, m_failedCount);
        m_stopping = true;
        runFor(3s);
    }

    void measureCloseTimes()
    {
        setEventCount(eventsPerStream);
        std::vector<double> times;
        for (int i = 0; i < closeSampleCount; ++i) {
            bool open = false;
            const auto stream = std::make_shared<Stream>(m_context);
            stream->open(
                    m_platform.entryAddress(1), nextId(),
                    [&open](Stream &) {
                        open = true;
                    },
                    [](bool) {});
            while (!open)
                runFor(1ms);
            const int cancelledBefore = countCancelledRequests();
            const auto start = Clock::now();
            stream->close();
            while (countCancelledRequests() == cancelledBefore && Clock::now() - start < 1s)
                m_context.run_one_for(1ms);
            times.push_back(toMs(Clock::now() - start));
        }
        std::printf("caller's close to the engine's connection closed, %d streams: p50 %.2f "
                    "p95 %.2f ms\n",
                    closeSampleCount, percentile(times, 0.5), percentile(times, 0.95));
    }

private:
    void startRepeatedStream()
    {
        const auto stream = std::make_shared<Stream>(m_context);
        stream->open(m_platform.entryAddress(1), nextId(), nullptr,
                     [this, weak = std::weak_ptr(stream)](bool complete) {
                         if (const auto ended = weak.lock())
                             m_eventCount += ended->eventCount();
                         ++(complete ? m_completeCount : m_failedCount);
                         if (!m_stopping)
                             startRepeatedStream();
                     });
    }

    void runFor(Clock::duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    std::string nextId() { return "bench-" + std::to_string(++m_lastId); }

    void setEventCount(int events)
    {
        for (const auto &engine : m_platform.engines) {
            engine->setEventCount(events);
            engine->setEventInterval(eventInterval);
        }
    }

    int countCancelledRequests() const
    {
        int n = 0;
        for (const auto &engine : m_platform.engines)
            n += engine->cancelledCount();
        return n;
    }

    boost::asio::io_context m_context {1};
    EmulatedPlatform m_platform;
    Tcp::endpoint m_engineAddress;
    std::string m_directory;
    test::ProcessGroup m_processes;
    pid_t m_node = -1;
    int m_lastId = 0;
    int m_eventCount = 0;
    int m_completeCount = 0;
    int m_failedCount = 0;
    bool m_stopping = false;
};

} // namespace

int main(int argc, char *argv[])
{
    absl::SetProgramUsageMessage(
            "Measures the latency and resource use of a node on the emulated platform.");
    absl::ParseCommandLine(argc, argv);
    RelayBench bench(static_cast<std::uint16_t>(absl::GetFlag(FLAGS_first_port)));
    bench.measureFirstEventTimes();
    bench.measureStreams(absl::GetFlag(FLAGS_streams),
                         std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
    bench.measureCloseTimes();
    return 0;
}
