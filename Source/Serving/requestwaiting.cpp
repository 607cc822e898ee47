#include "Serving/requestwaiting.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"
#include "Serving/enginegate.h"
#include "Serving/servingstate.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Share of the node's memory that waiting requests may hold.
constexpr std::size_t memoryDivisor = 16;
//! Weight of the newest request in the mean time to the first event.
constexpr double newestSampleWeight = 0.1;
//! Time to the first event that is assumed before one has been observed, as a part of the aim.
constexpr double initialFirstEventShare = 0.5;
//! Callers give up a stream without events after the longest of these: a time, and multiples of
//! the aim and of the longest pause that they accept.
constexpr Milliseconds minStreamPatience = 2000ms;
constexpr int patienceInAims = 4;
constexpr int patienceInGaps = 8;
//! A refusal within this part of the aim is no worse for the caller than one at once.
constexpr int shortWaitDivisor = 8;
//! Callers follow an announced time up to this part of the time that they have left.
constexpr int returnShareDivisor = 3;
//! Retry delay of callers whose requests waited in a node that stops. Another node takes them.
constexpr Milliseconds shutdownRetryAfter = 100ms;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::ceil<Milliseconds>(duration);
}

} // namespace

RequestWaiting::Service &RequestWaiting::findService(const std::string &name)
{
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    RequestQueueOptions options;
    if (m_state.settings.memoryLimitBytes > 0)
        options.maxBytes = m_state.settings.memoryLimitBytes / memoryDivisor;
    return m_services.try_emplace(name, Service {.queue = RequestQueue(options)}).first->second;
}

/*!
    Tells the queue of \a service what is known of the places at its engines.
*/
void RequestWaiting::updateView(const std::string &name, Service &service)
{
    const double share = 1.0 + EngineChooserOptions {}.queueShare;
    PlaceView view {.nodes = m_state.quotaShares.nodes};
    const Timestamp now = steadyNow();
    for (const EngineState *engine : EngineGate(m_state).openEngines(name)) {
        const int requests = engine->requests(now);
        const int places = static_cast<int>(std::floor(engine->entry.slots * share));
        view.ownRequests += engine->ownLoad.requests;
        view.requests += requests;
        view.places += places;
        view.freePlaces += std::max(0, places - requests);
    }
    service.queue.drain().setView(view);
}

bool RequestWaiting::isBusy(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && !found->second.queue.isEmpty();
}

Duration RequestWaiting::expectedTimeToFirstEvent(const std::string &service,
                                                  const ServingRoute &route) const
{
    const auto found = m_firstEventSeconds.find({service, route.name});
    const std::chrono::duration<double> time = found == m_firstEventSeconds.end()
            ? initialFirstEventShare * std::chrono::duration<double>(route.targetLatency)
            : std::chrono::duration<double>(found->second);
    return std::chrono::duration_cast<Duration>(time);
}

WaitingRequest RequestWaiting::makeRequest(const WaitingDemand &demand,
                                           Duration timeToFirstEvent) const
{
    const ServingRoute &route = demand.route;
    Timestamp lastUse = demand.deadline;
    if (route.kind == RouteKind::Streaming) {
        const Milliseconds patience = std::max({minStreamPatience,
                                                patienceInAims * route.targetLatency,
                                                patienceInGaps * route.targetGap});
        lastUse = std::min(lastUse, demand.arrival + patience);
    }
    const Timestamp now = steadyNow();
    const Timestamp aimEnd = route.targetLatency > Milliseconds::zero()
            ? std::min(lastUse, demand.arrival + route.targetLatency)
            : lastUse - timeToFirstEvent;
    return {.id = 0,
            .rank = demand.priority,
            .account = demand.account,
            .callerKey = demand.callerKey,
            .cost = demand.cost,
            .bytes = demand.bytes,
            .timeToFirstEvent = timeToFirstEvent,
            .aimEnd = aimEnd,
            .lastUse = lastUse,
            .shortWait = route.targetLatency / shortWaitDivisor,
            .latestReturn = now + (demand.deadline - now) / returnShareDivisor};
}

double RequestWaiting::drawRandom()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_state.random);
}

std::uint64_t RequestWaiting::offer(const WaitingDemand &demand, WaitingCalls calls,
                                    Milliseconds &retryAfter)
{
    const Timestamp now = steadyNow();
    Service &service = findService(demand.service);
    updateView(demand.service, service);
    const Duration firstEvent = expectedTimeToFirstEvent(demand.service, demand.route);
    WaitingRequest request = makeRequest(demand, firstEvent);
    request.id = ++m_lastId;
    const WaitDecision decision = service.queue.offer(request, drawRandom(), now);
    if (!decision.waits()) {
        retryAfter = toMilliseconds(decision.retryAfter);
        logRefusal(demand.request, service, waitRefusalName(decision.refusal), Duration::zero(),
                   retryAfter);
        return 0;
    }
    logEvent(LogLevel::Info, "request.waiting",
             {{"request", demand.request},
              {"rank", static_cast<std::int64_t>(demand.priority)},
              {"waiting", static_cast<std::int64_t>(service.queue.size())},
              {"predicted_ms", toMs(decision.predictedWait)},
              {"first_event_ms", toMs(firstEvent)},
              {"drain_per_s", service.queue.drain().placesPerSecond()}});
    m_waiters.emplace(request.id,
                      Waiter {.request = demand.request,
                              .service = demand.service,
                              .since = now,
                              .calls = std::move(calls)});
    return request.id;
}

void RequestWaiting::logRefusal(const std::string &request, const Service &service,
                                std::string_view reason, Duration waited,
                                Milliseconds retryAfter) const
{
    const DrainMeter &drain = service.queue.drain();
    logEvent(LogLevel::Info, "request.refused",
             {{"request", request},
              {"reason", reason},
              {"waited_ms", toMs(waited)},
              {"retry_after_ms", static_cast<std::int64_t>(retryAfter.count())},
              {"waiting", static_cast<std::int64_t>(service.queue.size())},
              {"engine_requests", static_cast<std::int64_t>(drain.view().requests)},
              {"drain_per_s", drain.placesPerSecond()}});
}

void RequestWaiting::withdraw(std::uint64_t id)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    findService(found->second.service).queue.withdraw(id);
    m_waiters.erase(found);
}

Milliseconds RequestWaiting::retryAfter(const WaitingDemand &demand)
{
    Service &service = findService(demand.service);
    updateView(demand.service, service);
    const WaitingRequest request = makeRequest(
            demand, expectedTimeToFirstEvent(demand.service, demand.route));
    const Milliseconds time = toMilliseconds(
            service.queue.retryAfter(request, drawRandom(), steadyNow()));
    logRefusal(demand.request, service, "no_engine_left", Duration::zero(), time);
    return time;
}

void RequestWaiting::recordDirect(const WaitingDemand &demand)
{
    findService(demand.service)
            .queue.recordDirect(demand.priority, demand.account, demand.cost, steadyNow());
}

void RequestWaiting::recordRelease(const std::string &name, Duration occupied)
{
    Service &service = findService(name);
    service.queue.drain().recordOccupied(occupied);
    if (service.queue.isEmpty())
        return;
    ++service.released;
    postDispatch();
}

void RequestWaiting::recordFirstEvent(const std::string &service, const ServingRoute &route,
                                      Duration time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    const auto [mean, isFirst] = m_firstEventSeconds.try_emplace({service, route.name}, seconds);
    if (!isFirst)
        mean->second += newestSampleWeight * (seconds - mean->second);
}

/*!
    Sends requests after the current callback, which may be about to use the request whose release
    has made room.
*/
void RequestWaiting::postDispatch()
{
    if (std::exchange(m_isDispatchPosted, true))
        return;
    asio::post(m_state.context, [this] {
        m_isDispatchPosted = false;
        dispatchReleased();
    });
}

void RequestWaiting::dispatchReleased()
{
    for (auto &[name, service] : m_services)
        dispatch(service, std::exchange(service.released, 0));
}

/*!
    Sends up to \a places requests of \a service, in the order of its queue.
*/
void RequestWaiting::dispatch(Service &service, std::size_t places)
{
    for (; places > 0; --places) {
        const auto id = service.queue.next(steadyNow());
        if (!id)
            return;
        const auto found = m_waiters.find(*id);
        if (found == m_waiters.end())
            continue;
        // The call may end the request, which withdraws it.
        const WaitingCalls calls = found->second.calls;
        if (!calls.resume()) {
            service.queue.restore(steadyNow());
            return;
        }
        m_waiters.erase(*id);
    }
}

void RequestWaiting::expire(Service &service)
{
    for (const ExpiredRequest &expired : service.queue.expire(steadyNow())) {
        const auto found = m_waiters.find(expired.id);
        if (found == m_waiters.end())
            continue;
        const Waiter waiter = std::move(found->second);
        m_waiters.erase(found);
        const Milliseconds retryAfter = toMilliseconds(expired.retryAfter);
        logRefusal(waiter.request, service, "overtaken", expired.waited, retryAfter);
        waiter.calls.refuse("no engine was free in time", retryAfter);
    }
}

void RequestWaiting::tick()
{
    const Timestamp now = steadyNow();
    for (auto &[name, service] : m_services) {
        if (!service.queue.isEmpty())
            updateView(name, service);
        const Duration elapsed = now - std::exchange(service.placesTakenAt, now);
        dispatch(service, service.queue.takeFreePlaces(drawRandom(), elapsed));
        if (service.queue.isEmpty())
            continue;
        updateView(name, service);
        expire(service);
    }
}

void RequestWaiting::scheduleDispatch()
{
    asio::post(m_state.context, [this] {
        tick();
    });
}

void RequestWaiting::refuseAll()
{
    for (auto &[name, service] : m_services) {
        for (const std::uint64_t id : service.queue.clear()) {
            const auto found = m_waiters.find(id);
            if (found == m_waiters.end())
                continue;
            const Waiter waiter = std::move(found->second);
            m_waiters.erase(found);
            logRefusal(waiter.request, service, "shutdown", steadyNow() - waiter.since,
                       shutdownRetryAfter);
            waiter.calls.refuse("this node is shutting down", shutdownRetryAfter);
        }
    }
}

void RequestWaiting::updateMetrics()
{
    ServingMetrics &metrics = m_state.metrics;
    for (const auto &[name, service] : m_services) {
        const std::string label = absl::StrCat("{", formatLabel("service", name));
        const RequestQueueMetrics queue = service.queue.metrics();
        const auto set = [&](const std::string &series, const std::string &more, double value) {
            metrics.setGauge(absl::StrCat(series, label, more, "}"), value);
        };
        const auto setCount = [&](const std::string &result, std::int64_t value) {
            set("waits_total", absl::StrCat(",result=\"", result, "\""),
                static_cast<double>(value));
        };
        setCount("accepted", queue.accepted);
        setCount("dispatched", queue.dispatched);
        setCount("caller_gone", queue.withdrawn);
        setCount("refused_too_late", queue.refusedTooLate);
        setCount("refused_full", queue.refusedFull);
        setCount("refused_after_wait", queue.expired);
        set("wait_predicted_seconds_total", "", queue.predictedSeconds);
        set("wait_seconds_total", "", queue.waitedSeconds);
        set("places_freed_per_second", "", service.queue.drain().placesPerSecond());
        for (const std::string &key : m_waitingGauges)
            set("requests_waiting", key, 0.0);
        for (const auto &[flow, n] : queue.waiting) {
            const std::string key = absl::StrCat(",rank=\"", flow.first, "\",",
                                                 formatLabel("account", flow.second));
            m_waitingGauges.insert(key);
            set("requests_waiting", key, n);
        }
    }
}

} // namespace sesame
