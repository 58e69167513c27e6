// The lines about requests and their fields.
#include "RequestReport.h"

namespace Goldcrestwall::Gateway {

RequestReport::RequestReport(const StoreView &view, EventLog &log, MetricRegistry &metrics)
    : view_(view)
    , log_(log)
    , metrics_(metrics)
{
}

void RequestReport::ended(const RequestProgress &progress, unsigned status, const char *reason, TimePoint now)
{
    LogLine line("request");
    line.add("request", progress.headers_.requestId_).add("status", status).add("reason", reason);
    if (progress.route_ != nullptr) {
        line.add("route", progress.route_->name_).add("service", progress.service_).add("sends", progress.sends_);
        line.add("placedBy", placementSourceName(progress.source_)).addDuration("waitedMs", progress.waited_);
        line.addDuration("leftMs", progress.deadline_ - now);
        metrics_.observe("goldcrestwall_request_seconds", {{"route", progress.route_->name_}}, now - progress.arrivedAt_);
    }
    if (progress.configuration_) {
        line.add("configuration", progress.configuration_->version_).addDuration("viewAgeMs", progress.viewAge_);
    }
    line.add("storeVersion", view_.at()).addDuration("tookMs", now - progress.arrivedAt_);
    if (progress.headers_.key_) {
        line.add("key", *progress.headers_.key_);
    }
    if (!progress.servers_.empty()) {
        line.add("server", progress.servers_.back());
    }
    if (!progress.limitedServer_.empty()) {
        line.add("limitedServer", progress.limitedServer_);
    }
    const bool isSuccess = status >= 200 && status < 300;
    log_.write(line, isSuccess ? LogImportance::Sampled : LogImportance::Kept, now);
}

void RequestReport::withheld(const RequestProgress &progress, const PlacementResult &place, const SendDecision &decision, Duration attempt, TimePoint now)
{
    metrics_.increment("goldcrestwall_requests_withheld_total", {{"service", progress.service_}, {"verdict", sendVerdictName(decision.verdict_)}});
    LogLine line("request-withheld");
    line.add("request", progress.headers_.requestId_).add("server", place.server_).add("incarnation", place.startTime_);
    line.add("verdict", sendVerdictName(decision.verdict_)).add("placedBy", placementSourceName(place.source_));
    line.add("placedAtVersion", place.version_).add("storeVersion", view_.at()).addDuration("attemptMs", attempt);
    if (decision.notice_) {
        line.add("reason", leavingReasonName(decision.notice_->reason_)).add("from", noticeSourceName(decision.notice_->source_));
        line.add("leavingVersion", decision.notice_->version_).addDuration("knownForMs", now - decision.notice_->learntAt_);
    }
    log_.write(line, LogImportance::Kept, now);
}

void RequestReport::attemptFailed(const RequestProgress &progress, const PlacementResult &place, const ExchangeResult &result, Duration took, TimePoint now)
{
    log_.write(LogLine("attempt-failed")
                   .add("request", progress.headers_.requestId_)
                   .add("server", place.server_)
                   .add("outcome", progress.lastFailure_)
                   .add("status", result.outcome_ == ExchangeOutcome::Answered ? result.response_.result_int() : 0)
                   .add("named", result.isCorrelated_)
                   .add("newConnection", result.isNewConnection_)
                   .add("connection", result.connection_)
                   .add("exchangesOnConnection", result.exchangesOnConnection_)
                   .add("placedBy", placementSourceName(place.source_))
                   .add("placedAtVersion", place.version_)
                   .addDuration("tookMs", took),
               LogImportance::Kept,
               now);
}

void RequestReport::leavingServerResponded(
    const RequestProgress &progress, const PlacementResult &place, const LeavingNotice &notice, TimePoint sentAt, TimePoint now)
{
    log_.write(LogLine("leaving-server-responded")
                   .add("request", progress.headers_.requestId_)
                   .add("server", place.server_)
                   .add("reason", leavingReasonName(notice.reason_))
                   .addDuration("sentBeforeKnownMs", notice.bindsFrom_ - sentAt)
                   .add("placedAtVersion", place.version_)
                   .add("storeVersion", view_.at())
                   .add("placedBy", placementSourceName(place.source_)),
               LogImportance::Kept,
               now);
}

} // namespace Goldcrestwall::Gateway
