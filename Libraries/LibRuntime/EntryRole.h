// Entry role of one instance: sends callers' requests to the dispatchers.
#pragma once

#include <LibCaller/LibCaller.h>
#include <LibMetrics/LibMetrics.h>
#include <LibPeer/LibPeer.h>
#include <LibRuntime/DispatchTable.h>
#include <LibRuntime/RoutingView.h>

#include <boost/asio/thread_pool.hpp>

#include <deque>
#include <future>

namespace Goldcrestwall {

// How a failed or slow request ended, for queries by operators.
struct RequestTrace
{
    RequestId id_;
    ServiceKey service_;
    CustomerId customer_;
    ServerId server_;
    UnixMilliseconds time_ = 0;
    Duration elapsed_{};
    int attempts_ = 0;
    bool isAnswered_ = false;
    Verdict verdict_;

    bool operator==(const RequestTrace &) const = default;
};

// Keeps the most recent failed or slow requests.
class RequestTraces
{
public:
    static constexpr std::size_t Capacity = 4096;

    void add(RequestTrace trace);
    // The traces of one request, newest first, at most `limit`. With an empty identifier, the newest traces of all requests.
    std::vector<RequestTrace> find(const RequestId &id, std::size_t limit) const;

private:
    mutable std::mutex mutex_;
    std::deque<RequestTrace> traces_;
};

// Routes requests, retries them within their deadlines and hedges slow idempotent requests to shared services. Thread-safe.
class EntryRole
{
public:
    EntryRole(RoutingView &view, DispatchTable &dispatchers, MetricRegistry &metrics, std::string address);
    ~EntryRole();
    EntryRole(const EntryRole &) = delete;
    EntryRole &operator=(const EntryRole &) = delete;

    // Must be called before the first request.
    void setTransport(PeerTransport &transport)
    {
        transport_ = &transport;
    }

    // Runs a request to completion on the calling thread.
    CallerAnswer handle(const CallerRequest &request);

    const RequestTraces &traces() const
    {
        return traces_;
    }

private:
    // State of one request across its attempts.
    struct RequestContext
    {
        const CallerRequest &request_;
        AccessGrant grant_;
        RequestId id_;
        IdOrigin idOrigin_ = IdOrigin::Entry;
        TimePoint startedAt_;
        TimePoint deadline_;
        int attempts_ = 0;
        ServerId lastServer_;
    };
    // State that this entry keeps for one service.
    struct ServiceState
    {
        TargetSelector selector_;
        HedgePolicy hedge_;
    };
    class HedgedAttempt;

    // Waits for a complete routing table; returns null if there is none by the deadline.
    std::shared_ptr<const RoutingTable> awaitCompleteTable(TimePoint deadline) const;
    DispatchReply attempt(RequestContext &requestContext);
    DispatchReply attemptHedged(RequestContext &requestContext, const RoutePlan &plan, Duration delay);
    DispatchReply send(const RequestContext &requestContext, const RoutePlan &plan, const std::string &correlation);
    DispatchReply sendToPeer(const RoutePlan &plan, const DispatchCall &call, Duration timeout);
    DispatchCall makeCall(const RequestContext &requestContext, const RoutePlan &plan, const std::string &correlation) const;
    Result<RoutePlan> plan(const RequestContext &requestContext, const std::optional<ServerId> &avoid);
    void recordResult(const RoutePlan &plan, const DispatchReply &reply, Duration latency);
    void cancel(const RoutePlan &plan, const std::string &correlation);
    std::string makeCorrelation();
    std::mt19937_64 &random();
    void record(const RequestContext &requestContext, const DispatchReply &reply);

    RoutingView &view_;
    DispatchTable &dispatchers_;
    MetricRegistry &metrics_;
    std::string address_;
    PeerTransport *transport_ = nullptr;
    // Protects `access_`, `services_` and `budgets_`; never held together with another lock.
    std::mutex mutex_;
    AccessControl access_;
    std::map<ServiceKey, ServiceState> services_;
    std::map<CustomerId, RetryBudget> budgets_;
    std::atomic<std::uint64_t> lastCorrelation_;
    RequestTraces traces_;
    boost::asio::thread_pool hedgeThreads_;
};

} // namespace Goldcrestwall
