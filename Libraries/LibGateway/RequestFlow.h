// Handles a caller's request from route lookup to response.
#pragma once

#include <LibGateway/AnnouncementRecorder.h>
#include <LibGateway/RequestReport.h>
#include <LibGateway/StoreLink.h>

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
                AnnouncementRecorder &announcements,
                EventLog &log,
                MetricRegistry &metrics);

    // Returns the response for the caller, or nothing if the caller has disconnected. `arrivedAt` is when the request's first bytes were
    // read.
    Task<std::optional<HttpResponse>> run(const HttpRequest &request, std::shared_ptr<RequestControl> control, TimePoint arrivedAt);

    // Rejects every request from now on that may take longer than until `endsAt`, when the process ends.
    void rejectAfter(TimePoint endsAt)
    {
        endsAt_ = endsAt;
    }

    // Whether the request may run more than once, or will not run because no route matches it.
    bool mayRunAgain(const HttpRequest &request) const;

private:
    // What to do after an attempt.
    enum class NextStep {
        Answer,
        Retry,
        // The request was not sent to the server: send it to another one.
        SendElsewhere,
        Fail,
    };

    std::optional<HttpResponse> checkRoute(const HttpRequest &request, RequestProgress &progress, TimePoint now);
    Task<NextStep> attempt(const HttpRequest &request, RequestProgress &progress, const PlacementResult &place);
    // Whether the request may be sent to the server of its placement. Whoever chose the server may have known less than this instance.
    SendDecision decideSend(const PlacementResult &place, TimePoint now);
    // Gives up a placement at a server that gets no requests, and tells the coordinator why. `startedAt` is when the attempt began.
    void withhold(RequestProgress &progress, const PlacementResult &place, const SendDecision &decision, TimePoint startedAt, TimePoint now);
    PlacementRequest makePlacementRequest(const RequestProgress &progress) const;
    // Counts what a server's response states, and by what it is known to be the response to its request.
    void countResponse(const ExchangeResult &result, Platform::ResponseKind kind);
    // The request was not sent to the server that was chosen for it.
    static NextStep replaceServer(RequestProgress &progress);
    NextStep decideNextStep(RequestProgress &progress, const ExchangeResult &result, Platform::ResponseKind kind) const;
    // Estimates how long ago the caller made the request for the first time: a caller that retries has less of its time limit left than
    // other callers of the route.
    Duration estimateAge(const std::string &route, std::optional<Duration> callerTimeout);
    HttpResponse answerRejected(RequestProgress &progress, const PlacementResult &place);
    HttpResponse answerFailed(RequestProgress &progress, TimePoint now);
    HttpResponse makeResponse(const RequestProgress &progress, unsigned status, std::optional<Duration> retryAfter) const;

    asio::io_context &loop_;
    const StoreView &view_;
    const StoreLink &store_;
    PlacementService &placement_;
    HttpClient &client_;
    AnnouncementRecorder &announcements_;
    MetricRegistry &metrics_;
    RequestReport report_;
    // Both maps are indexed by route name.
    std::map<std::string, WeightedRotation> rotations_;
    std::map<std::string, Duration> longestCallerTimeout_;
    // When the process ends; nothing unless it is about to.
    std::optional<TimePoint> endsAt_;
};

} // namespace Goldcrestwall::Gateway
