#include "Serving/dutycoordinator.h"
#include "platformrequestformat.h"

#include <criterion/criterion.h>

#include <random>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

/*!
    Store that holds one object in memory and answers after a random time.
*/
class SlowStore : public ObjectStoreClient
{
public:
    SlowStore(asio::io_context &context, std::shared_ptr<json_t> &stored, std::minstd_rand &random)
        : m_context(context), m_stored(stored), m_random(random)
    {
    }

    void list(const std::string & /*kind*/, bool /*allowStale*/, ReadCompletion completion) override
    {
        StoreReadResult result {.status = StoreCallStatus::Ok, .revision = m_revision};
        if (m_stored)
            result.objects.push_back(
                    {.name = "deployment", .revision = m_revision, .content = m_stored});
        completion(result);
    }

    void watch(const std::string & /*kind*/, std::uint64_t /*revision*/,
               std::chrono::milliseconds /*maxWait*/, ReadCompletion /*completion*/) override
    {
    }

    void create(const std::string & /*kind*/, const std::string & /*name*/, const json_t *content,
                WriteCompletion completion) override
    {
        write(content, std::move(completion));
    }

    void replace(const std::string & /*kind*/, const std::string & /*name*/, const json_t *content,
                 std::optional<std::uint64_t> /*revision*/, WriteCompletion completion) override
    {
        write(content, std::move(completion));
    }

    void replaceStatus(const std::string & /*kind*/, const std::string & /*name*/,
                       const json_t * /*status*/, WriteCompletion /*completion*/) override
    {
    }
    void remove(const std::string & /*kind*/, const std::string & /*name*/,
                WriteCompletion /*completion*/) override
    {
    }

private:
    void write(const json_t *content, WriteCompletion completion)
    {
        m_stored = std::shared_ptr<json_t>(json_deep_copy(content), JsonDeleter {});
        const auto delay = std::chrono::milliseconds(
                std::uniform_int_distribution<int>(200, 700)(m_random));
        const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait(
                [timer, completion = std::move(completion), revision = ++m_revision](const auto &) {
                    completion({.status = StoreCallStatus::Ok, .revision = revision});
                });
    }

    asio::io_context &m_context;
    std::shared_ptr<json_t> &m_stored;
    std::minstd_rand &m_random;
    std::uint64_t m_revision = 0;
};

/*!
    Accepts usage reports after a random time and records those that were not in the store.
*/
class SlowDutyClient : public DutyClient
{
public:
    SlowDutyClient(asio::io_context &context, std::shared_ptr<json_t> &stored,
                   std::minstd_rand &random)
        : m_context(context), m_stored(stored), m_random(random)
    {
    }

    void reportUsage(std::int64_t window, const AccountCounts & /*counts*/,
                     std::int64_t /*fencingToken*/, Completion completion) override
    {
        ++reports;
        unstoredReports += jsonInteger(m_stored.get(), "decidedWindow") != window ? 1 : 0;
        const auto delay = std::chrono::milliseconds(
                std::uniform_int_distribution<int>(10, 900)(m_random));
        const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, completion = std::move(completion)](const auto &) {
            completion(DutyCallStatus::Accepted);
        });
    }

    void orderEngines(const EngineOrder & /*order*/, std::int64_t /*fencingToken*/,
                      Completion completion) override
    {
        completion(DutyCallStatus::Refused);
    }

    int reports = 0;
    int unstoredReports = 0;

private:
    asio::io_context &m_context;
    std::shared_ptr<json_t> &m_stored;
    std::minstd_rand &m_random;
};

} // namespace

// Guards against a usage report that is sent before it is stored, because a write of the record was
// under way when it was decided. A successor could then report other counts for the same window.
Test(dutycoordinator, reportsAreStoredBeforeTheyAreSent)
{
    asio::io_context context {1};
    std::minstd_rand random(1);
    std::shared_ptr<json_t> stored;
    const platform::PlatformRequestFormat format;
    ServingState state(context,
                       {.node = "a",
                        .zone = "z",
                        .entryAddressText = "127.0.0.1:1",
                        .metersUsage = true,
                        .usageWindow = 1000ms},
                       format);
    SlowDutyClient dutyClient(context, stored, random);
    DutyCoordinator coordinator(state, std::make_unique<SlowStore>(context, stored, random),
                                dutyClient);
    state.tally.setAggregator(true);
    coordinator.start();
    asio::steady_timer timer(context);
    std::function<void()> count = [&] {
        state.countUsage("account");
        timer.expires_after(20ms);
        timer.async_wait([&](const auto &ec) {
            if (!ec)
                count();
        });
    };
    count();
    context.run_for(15s);
    cr_expect_geq(dutyClient.reports, 5);
    cr_expect_eq(dutyClient.unstoredReports, 0, "%d of %d", dutyClient.unstoredReports,
                 dutyClient.reports);
}
