// Handles one request of a caller from its route to its answer.
#pragma once

#include <LibGateway/PlacementService.h>
#include <LibGateway/StoreLink.h>

#include <LibMetrics/LibMetrics.h>

namespace Goldcrestwall::Gateway {

// Decides how often and where a request is sent, and what its caller is told. Whatever may have run is never said not to have run.
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

    // The answer for the caller; nothing when the caller has left. `arrivedAt` is when the request's first bytes were read.
    Task<std::optional<HttpResponse>> run(const HttpRequest &request, std::shared_ptr<RequestControl> control, TimePoint arrivedAt);

    // Whether the request may run more than once, or not at all because no route is known for it.
    bool mayRunAgain(const HttpRequest &request) const;

private:
    // What is known of one request while it is handled.
    struct Progress;

    // What follows from one attempt.
    enum class NextStep {
        Answer,
        Retry,
        // The request did not reach the server.
        SendElsewhere,
        Fail,
    };

    std::optional<HttpResponse> checkRoute(const HttpRequest &request, Progress &progress, TimePoint now);
    Task<NextStep> attempt(const HttpRequest &request, Progress &progress, const PlacementResult &place);
    NextStep decideNextStep(Progress &progress, const ExchangeResult &result, Platform::ResponseKind kind) const;
    // How long ago the caller asked for the first time: callers that come back have less patience left than others of the route.
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
    // By route.
    std::map<std::string, WeightedRotation> rotations_;
    std::map<std::string, Duration> longestCallerTimeout_;
};

} // namespace Goldcrestwall::Gateway
