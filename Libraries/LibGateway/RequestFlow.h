// Handles a caller's request from route lookup to response.
#pragma once

#include <LibGateway/PlacementService.h>
#include <LibGateway/StoreLink.h>

#include <LibMetrics/LibMetrics.h>

namespace Goldcrestwall::Gateway {

// Decides how often and to which servers a request is sent, and what the caller is told. A request that may have run is never reported
// as not run.
class RequestFlow
{
public:
    RequestFlow(asio::io_context &loop,
                const StoreView &view,
                const StoreLink &store,
                PlacementService &placement,
                HttpClient &client,
                EventLog &log,
                MetricRegistry &metrics);

    // Returns the response for the caller, or nothing if the caller has disconnected. `arrivedAt` is when the request's first bytes were
    // read.
    Task<std::optional<HttpResponse>> run(const HttpRequest &request, std::shared_ptr<RequestControl> control, TimePoint arrivedAt);

    // Whether the request may run more than once, or will not run because no route matches it.
    bool mayRunAgain(const HttpRequest &request) const;

private:
    // State of one request while it is handled.
    struct Progress;

    // What to do after an attempt.
    enum class NextStep {
        Answer,
        Retry,
        // The request did not reach the server: send it to another one.
        SendElsewhere,
        Fail,
    };

    std::optional<HttpResponse> checkRoute(const HttpRequest &request, Progress &progress, TimePoint now);
    Task<NextStep> attempt(const HttpRequest &request, Progress &progress, const PlacementResult &place);
    // Reports a request that is about to be sent to a server that this instance knows to be leaving.
    void reportKnownLeaving(const Progress &progress, const PlacementResult &place, TimePoint now);
    NextStep decideNextStep(Progress &progress, const ExchangeResult &result, Platform::ResponseKind kind) const;
    // Estimates how long ago the caller made the request for the first time: a caller that retries has less of its time limit left than
    // other callers of the route.
    Duration estimateAge(const std::string &route, std::optional<Duration> callerTimeout);
    HttpResponse answerRejected(Progress &progress, const PlacementResult &place);
    HttpResponse answerFailed(Progress &progress, TimePoint now);
    HttpResponse makeResponse(const Progress &progress, unsigned status, std::optional<Duration> retryAfter) const;
    void logEnd(const Progress &progress, unsigned status, const char *reason, TimePoint now);

    asio::io_context &loop_;
    const StoreView &view_;
    const StoreLink &store_;
    PlacementService &placement_;
    HttpClient &client_;
    EventLog &log_;
    MetricRegistry &metrics_;
    // Both maps are indexed by route name.
    std::map<std::string, WeightedRotation> rotations_;
    std::map<std::string, Duration> longestCallerTimeout_;
};

} // namespace Goldcrestwall::Gateway
