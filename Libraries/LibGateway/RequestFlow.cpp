// Route lookup, attempts, retries and the response of a request.
#include "RequestFlow.h"

#include <algorithm>
#include <sstream>

namespace Goldcrestwall::Gateway {

using Platform::ResponseKind;

namespace {

// The request fails after this many servers in addition to the first could not be reached or were not to get it.
constexpr std::uint32_t MaxReplacements = 4;
// After a coordinator has chosen so many servers that get no requests, this instance decides itself.
constexpr std::uint32_t MaxWithheldByCoordinator = 2;
// How long after the deadline to wait for the server's own response.
constexpr Duration DeadlineGrace = 60ms;
// Requests that must not run twice reuse a keep-alive connection only if it was idle for a short time: if the server has closed it
// meanwhile and the write fails, it is unknown whether the server has read the request.
constexpr Duration MaxIdleNonIdempotent = 1500ms;
constexpr Duration MaxIdleIdempotent = 5s;
constexpr Duration ServerConnectTimeout = 300ms;
// Fraction of the latency objective that is left after subtracting the network time to the caller.
constexpr double ObjectiveFraction = 0.93;
// Work assumed for requests of a route until some have completed, as a fraction of the route's latency objective.
constexpr double AssumedWorkFraction = 0.3;
// A caller whose remaining time is shorter than the longest seen on its route by more than this is taken to be retrying.
constexpr Duration MinCallerRetryAge = 20ms;
constexpr unsigned GatewayTimeout = 504;
constexpr Duration StartupRetryAfter = 300ms;
// Requests are rejected when a newer configuration has been known to exist for this time without being known itself.
constexpr Duration MaxConfigurationLag = 1500ms;
// A caller that returns at once reaches another instance: this one takes no new connections.
constexpr Duration StoppingRetryAfter = 10ms;
constexpr Duration MisdirectedDelay = 30ms;

std::string pathOf(const HttpRequest &request)
{
    const auto target = request.target();
    return std::string(target.substr(0, target.find('?')));
}

std::string hostOf(const HttpRequest &request)
{
    const auto host = request[http::field::host];
    return std::string(host.substr(0, host.find(':')));
}

const char *answerKindName(ResponseKind kind)
{
    switch (kind) {
    case ResponseKind::Complete:
        return "complete";
    case ResponseKind::NotRun:
        return "not-run";
    case ResponseKind::Misdirected:
        return "misdirected";
    case ResponseKind::Unusable:
        return "unusable";
    }
    return "unknown";
}

ResponseKind kindOf(const ExchangeResult &result)
{
    if (result.outcome_ != ExchangeOutcome::Answered) {
        return ResponseKind::Unusable;
    }
    const auto kind = Platform::classifyResponse(result.response_);
    const bool isStatedNotRun = kind == ResponseKind::NotRun || kind == ResponseKind::Misdirected;
    // On a kept connection, a response that names no request may be one that nobody has waited for.
    const bool mayBeOfAnother = !result.isCorrelated_ && !result.isNewConnection_;
    return isStatedNotRun && mayBeOfAnother ? ResponseKind::Unusable : kind;
}

PlacementOutcome toPlacementOutcome(const ExchangeResult &result, ResponseKind kind)
{
    switch (result.outcome_) {
    case ExchangeOutcome::Answered:
        break;
    case ExchangeOutcome::NotSent:
        return PlacementOutcome::Unreachable;
    case ExchangeOutcome::NoRoom:
    case ExchangeOutcome::Cancelled:
        return PlacementOutcome::Abandoned;
    case ExchangeOutcome::Lost:
    case ExchangeOutcome::Malformed:
        return PlacementOutcome::Lost;
    }
    switch (kind) {
    case ResponseKind::Complete:
        return result.response_.result_int() < 500 ? PlacementOutcome::Answered : PlacementOutcome::Lost;
    case ResponseKind::NotRun:
        return PlacementOutcome::Shed;
    case ResponseKind::Misdirected:
        return PlacementOutcome::Abandoned;
    case ResponseKind::Unusable:
        return PlacementOutcome::Lost;
    }
    return PlacementOutcome::Lost;
}

} // namespace

RequestFlow::RequestFlow(asio::io_context &loop,
                         const StoreView &view,
                         const StoreLink &store,
                         PlacementService &placement,
                         HttpClient &client,
                         AnnouncementRecorder &announcements,
                         EventLog &log,
                         MetricRegistry &metrics)
    : loop_(loop)
    , view_(view)
    , store_(store)
    , placement_(placement)
    , client_(client)
    , announcements_(announcements)
    , metrics_(metrics)
    , report_(view, log, metrics)
{
}

bool RequestFlow::mayRunAgain(const HttpRequest &request) const
{
    const auto configuration = view_.configuration();
    const Route *route = configuration ? configuration->route(hostOf(request), pathOf(request)) : nullptr;
    return route == nullptr || Gateway::mayRunAgain(route->kind_);
}

HttpResponse RequestFlow::makeResponse(const RequestProgress &progress, unsigned status, std::optional<Duration> retryAfter) const
{
    HttpResponse response;
    response.version(11);
    response.result(status);
    if (!progress.headers_.requestId_.empty()) {
        response.set(Platform::RequestIdHeader, progress.headers_.requestId_);
    }
    if (retryAfter) {
        std::ostringstream seconds;
        seconds.precision(3);
        seconds << std::fixed << std::chrono::duration<double>(*retryAfter).count();
        response.set(http::field::retry_after, seconds.str());
    }
    response.content_length(0);
    return response;
}

std::optional<HttpResponse> RequestFlow::checkRoute(const HttpRequest &request, RequestProgress &progress, TimePoint now)
{
    progress.headers_ = Platform::readCallerHeaders(request);
    progress.configuration_ = view_.configuration();
    progress.viewAge_ = store_.viewAge(now);
    if (!progress.configuration_) {
        report_.ended(progress, 503, "no-configuration", now);
        return makeResponse(progress, 503, StartupRetryAfter);
    }
    if (progress.headers_.requestId_.empty()) {
        report_.ended(progress, 400, "no-request-id", now);
        return makeResponse(progress, 400, std::nullopt);
    }
    if (view_.configurationLag(now) > MaxConfigurationLag) {
        report_.ended(progress, 503, "outdated-configuration", now);
        return makeResponse(progress, 503, StartupRetryAfter);
    }
    progress.route_ = progress.configuration_->route(hostOf(request), pathOf(request));
    if (progress.route_ == nullptr) {
        // While the view of the store is stale, the route may already exist there.
        const bool isCurrent = store_.isCurrent(now);
        report_.ended(progress, isCurrent ? 404 : 503, "no-route", now);
        return isCurrent ? makeResponse(progress, 404, std::nullopt) : makeResponse(progress, 503, StartupRetryAfter);
    }
    const auto &route = *progress.route_;
    progress.deadline_ = progress.arrivedAt_ + std::min(route.timeout_, progress.headers_.callerTimeout_.value_or(route.timeout_));
    // It may have waited in its socket while the loop was busy.
    const bool isTooLate = now >= progress.deadline_;
    const bool mightBeCutOff = endsAt_ && progress.deadline_ + DeadlineGrace > *endsAt_;
    if (isTooLate || mightBeCutOff) {
        report_.ended(progress, 503, isTooLate ? "too-late" : "stopping", now);
        return makeResponse(progress, 503, isTooLate ? StartupRetryAfter : StoppingRetryAfter);
    }
    const Duration age = estimateAge(route.name_, progress.headers_.callerTimeout_);
    progress.isCallerRetry_ = age > MinCallerRetryAge;
    progress.latencyObjectiveAt_ = progress.arrivedAt_ + scaled(route.latencyObjective_, ObjectiveFraction) - age;
    progress.service_ = rotations_[route.name_].next(route.services_);
    return std::nullopt;
}

Duration RequestFlow::estimateAge(const std::string &route, std::optional<Duration> callerTimeout)
{
    if (!callerTimeout) {
        return Duration::zero();
    }
    auto &longest = longestCallerTimeout_[route];
    longest = std::max(longest, *callerTimeout);
    return longest - *callerTimeout;
}

Task<std::optional<HttpResponse>> RequestFlow::run(const HttpRequest &request, std::shared_ptr<RequestControl> control, TimePoint arrivedAt)
{
    // 1. Find the route; without one, respond at once.
    // 2. Wait for a placement, send the request to its server unless the server is to get none, and classify the result.
    // 3. Retry while the request allows it and the deadline has not passed.
    // On the heap: with a larger coroutine frame, GCC 12 reports a mismatched operator delete that is not there.
    const auto owned = std::make_unique<RequestProgress>();
    auto &progress = *owned;
    progress.arrivedAt_ = arrivedAt;
    progress.control_ = control;
    if (auto response = checkRoute(request, progress, bootNow())) {
        co_return response;
    }
    metrics_.increment("goldcrestwall_requests_total", {{"service", progress.service_}});
    metrics_.increment("goldcrestwall_body_bytes_received_total", {{"from", "callers"}}, request.body().size());
    for (;;) {
        const bool hasReachedLimit = progress.withheldFrom_.size() >= MaxWithheldByCoordinator;
        const auto decider = hasReachedLimit ? PlacementDecider::Self : PlacementDecider::Coordinator;
        auto placementRequest = makePlacementRequest(progress);
        const auto place = co_await placement_.acquire(progress.service_, std::move(placementRequest), decider, control);
        progress.source_ = place.source_;
        progress.waited_ += place.waited_;
        if (control->isAbandoned()) {
            if (place.isPlaced_) {
                placement_.release(progress.service_, place, PlacementReport(), bootNow());
            }
            report_.ended(progress, 0, "caller-left", bootNow());
            co_return std::nullopt;
        }
        if (!place.isPlaced_) {
            co_return answerRejected(progress, place);
        }
        const auto step = co_await attempt(request, progress, place);
        if (control->isAbandoned() && progress.isIdempotent()) {
            report_.ended(progress, 0, "caller-left", bootNow());
            co_return std::nullopt;
        }
        if (step == NextStep::Answer) {
            const TimePoint now = bootNow();
            report_.ended(progress, progress.response_.result_int(), "answered", now);
            co_return Platform::makeCallerResponse(progress.response_);
        }
        if (step == NextStep::Fail) {
            co_return answerFailed(progress, bootNow());
        }
        progress.nextAttempt_ = step == NextStep::Retry ? AttemptKind::Retry : AttemptKind::Replacement;
    }
}

PlacementRequest RequestFlow::makePlacementRequest(const RequestProgress &progress) const
{
    PlacementRequest request;
    request.workKind_ = progress.route_->name_;
    request.priority_ = progress.route_->priority_;
    request.latencyObjectiveAt_ = progress.latencyObjectiveAt_;
    request.deadline_ = progress.deadline_;
    request.assumedWork_ = scaled(progress.route_->latencyObjective_, AssumedWorkFraction);
    request.attempt_ = progress.nextAttempt_;
    request.isCallerRetry_ = progress.isCallerRetry_;
    request.key_ = progress.headers_.key_;
    request.avoidedServers_ = progress.servers_;
    request.avoidedServers_.insert(request.avoidedServers_.end(), progress.withheldFrom_.begin(), progress.withheldFrom_.end());
    return request;
}

SendDecision RequestFlow::decideSend(const PlacementResult &place, TimePoint now)
{
    const auto *server = view_.server(place.server_);
    const bool isEvacuated = server != nullptr && view_.evacuatedDomains().contains(server->domain_);
    const auto decision = announcements_.decide(place.server(), isEvacuated, now);
    // An instance that has started after the server's entry was removed has no sign of it, but a view in which the entry is missing.
    const bool isNewerView = place.version_.exists() && place.version_ <= view_.at();
    if (decision.isAllowed() && server == nullptr && isNewerView) {
        return {SendVerdict::Leaving, LeavingNotice{LeavingReason::Removed, NoticeSource::Read, now, now, view_.at()}, {}};
    }
    if (decision.isAllowed() && placement_.mayExceedLimit(place, now)) {
        return {SendVerdict::LimitUnknown, std::nullopt, {}};
    }
    return decision;
}

void RequestFlow::withhold(RequestProgress &progress, const PlacementResult &place, const SendDecision &decision, TimePoint startedAt, TimePoint now)
{
    PlacementReport report;
    // A removed entry may only have expired during a store outage, so the coordinator has to learn of that from the store.
    report.isServerLeaving_ = decision.notice_ && decision.notice_->reason_ != LeavingReason::Removed;
    report.heldBackFor_ = decision.verdict_ == SendVerdict::HeldBack ? decision.heldBackUntil_ - now : Duration::zero();
    if (const auto *limit = announcements_.limitOf(place.server())) {
        report.namedLimit_ = limit->rate_;
        report.limitAge_ = now - limit->namedAt_;
    }
    placement_.release(progress.service_, place, report, now);
    progress.withheldFrom_.push_back(place.server_);
    progress.lastFailure_ = sendVerdictName(decision.verdict_);
    report_.withheld(progress, place, decision, now - startedAt, now);
}

Task<RequestFlow::NextStep> RequestFlow::attempt(const HttpRequest &request, RequestProgress &progress, const PlacementResult &place)
{
    const TimePoint startedAt = bootNow();
    TimePoint sentAt = startedAt;
    auto decision = decideSend(place, startedAt);
    if (!decision.isAllowed()) {
        withhold(progress, place, decision, startedAt, startedAt);
        co_return replaceServer(progress);
    }
    const bool isIdempotent = progress.isIdempotent();
    ExchangeOptions options;
    options.connectTimeout_ = ServerConnectTimeout;
    options.timeout_ = std::max<Duration>(1ms, progress.deadline_ + DeadlineGrace - startedAt);
    options.maxIdle_ = isIdempotent ? MaxIdleIdempotent : MaxIdleNonIdempotent;
    options.correlationHeader_ = Platform::RequestIdHeader;
    options.correlationId_ = progress.headers_.requestId_;
    options.bodyReservation_ = &progress.control_->responseReservation();
    options.maxResponseBody_ = options.bodyReservation_->account().maxResponseBody();
    options.maySend_ = [this, &progress, &place, &decision, &sentAt] {
        sentAt = bootNow();
        // More may be known of the server than before it was connected to.
        decision = decideSend(place, sentAt);
        return decision.isAllowed() && sentAt < progress.deadline_ && !progress.control_->hasCallerLeft();
    };
    auto handle = std::make_shared<ExchangeHandle>();
    progress.control_->setOnAbandon([handle, isIdempotent] {
        // A non-idempotent request continues without its caller once a server may have started it.
        if (isIdempotent || !handle->isSent()) {
            handle->cancel();
        }
    });
    const auto serverRequest = Platform::makeServerRequest(request, place.server_, progress.deadline_ - startedAt);
    auto result = co_await client_.exchange(place.address_, serverRequest, options, handle);
    progress.control_->setOnAbandon({});
    const TimePoint now = bootNow();
    if (!decision.isAllowed()) {
        withhold(progress, place, decision, startedAt, now);
        co_return replaceServer(progress);
    }
    const auto kind = kindOf(result);
    PlacementReport report;
    report.outcome_ = toPlacementOutcome(result, kind);
    const bool isTimeout = result.outcome_ == ExchangeOutcome::Answered && result.response_.result_int() == GatewayTimeout;
    // A response that never ends is a fault of the server, not slow work.
    if (isTimeout || (report.outcome_ == PlacementOutcome::Lost && now >= progress.deadline_ && !result.isUnbounded_)) {
        report.outcome_ = PlacementOutcome::TimedOut;
    }
    report.duration_ = now - startedAt;
    if (result.outcome_ == ExchangeOutcome::Answered) {
        countResponse(result, kind);
        metrics_.increment("goldcrestwall_body_bytes_received_total", {{"from", "servers"}}, result.response_.body().size());
        report.load_ = Platform::readLoad(result.response_);
        const auto announcement = announcements_.record(place.server(), result.response_, startedAt, now);
        if (report.outcome_ == PlacementOutcome::Answered && !announcement.hasLimitHeader_) {
            announcements_.recordNoLimit(place.server(), startedAt, now);
        }
        report.isServerLeaving_ = announcement.isLeaving_;
        report.heldBackFor_ = announcement.retryAfter_.value_or(Duration::zero());
        report.namedLimit_ = announcement.limit_;
    }
    if (const auto present = announcements_.decide(place.server(), false, now); present.notice_) {
        report_.leavingServerResponded(progress, place, *present.notice_, sentAt, now);
    }
    placement_.release(progress.service_, place, report, now);
    metrics_.observe("goldcrestwall_server_seconds", {{"service", progress.service_}}, report.duration_);
    progress.servers_.push_back(place.server_);
    const auto step = decideNextStep(progress, result, kind);
    if (step != NextStep::Answer) {
        progress.lastFailure_ = result.outcome_ == ExchangeOutcome::Answered ? answerKindName(kind) : exchangeOutcomeName(result.outcome_);
        report_.attemptFailed(progress, place, result, report.duration_, now);
    }
    if (kind == ResponseKind::Misdirected && step == NextStep::Retry) {
        co_await sleepFor(loop_, MisdirectedDelay);
    }
    progress.response_ = std::move(result.response_);
    co_return step;
}

void RequestFlow::countResponse(const ExchangeResult &result, ResponseKind kind)
{
    metrics_.increment("goldcrestwall_server_responses_total",
                       {{"kind", answerKindName(kind)},
                        {"status", std::to_string(result.response_.result_int())},
                        {"named", result.isCorrelated_ ? "yes" : "no"},
                        {"connection", result.isNewConnection_ ? "new" : "kept"}});
}

RequestFlow::NextStep RequestFlow::replaceServer(RequestProgress &progress)
{
    ++progress.replacements_;
    return progress.replacements_ <= MaxReplacements ? NextStep::SendElsewhere : NextStep::Fail;
}

RequestFlow::NextStep RequestFlow::decideNextStep(RequestProgress &progress, const ExchangeResult &result, ResponseKind kind) const
{
    if (result.outcome_ == ExchangeOutcome::NotSent) {
        return replaceServer(progress);
    }
    ++progress.sends_;
    const bool isAnswered = result.outcome_ == ExchangeOutcome::Answered;
    const bool hasAttemptsLeft = progress.sends_ < progress.route_->maxAttempts_;
    if (isAnswered && kind == ResponseKind::Complete) {
        const bool isFailure = result.response_.result_int() >= 500;
        progress.mayHaveRun_ = true;
        return isFailure && hasAttemptsLeft && progress.isIdempotent() ? NextStep::Retry : NextStep::Answer;
    }
    const bool isNotRun = isAnswered && (kind == ResponseKind::NotRun || kind == ResponseKind::Misdirected);
    if (!isNotRun) {
        progress.mayHaveRun_ = true;
    }
    const bool isRetryable = isNotRun || progress.isIdempotent();
    return isRetryable && hasAttemptsLeft ? NextStep::Retry : NextStep::Fail;
}

HttpResponse RequestFlow::answerRejected(RequestProgress &progress, const PlacementResult &place)
{
    const TimePoint now = bootNow();
    if (progress.mayHaveRun_) {
        return answerFailed(progress, now);
    }
    progress.limitedServer_ = place.limitedServer_;
    report_.ended(progress, 503, rejectReasonName(place.reason_), now);
    metrics_.increment("goldcrestwall_rejected_total", {{"service", progress.service_}, {"reason", rejectReasonName(place.reason_)}});
    return makeResponse(progress, 503, place.retryAfter_);
}

HttpResponse RequestFlow::answerFailed(RequestProgress &progress, TimePoint now)
{
    const bool isPastDeadline = now >= progress.deadline_;
    const unsigned status = !progress.mayHaveRun_ ? 503 : isPastDeadline ? 504 : 502;
    report_.ended(progress, status, progress.lastFailure_.c_str(), now);
    metrics_.increment("goldcrestwall_failed_total", {{"service", progress.service_}, {"reason", progress.lastFailure_}});
    return makeResponse(progress, status, status == 503 ? std::make_optional<Duration>(StartupRetryAfter / 3) : std::nullopt);
}

} // namespace Goldcrestwall::Gateway
