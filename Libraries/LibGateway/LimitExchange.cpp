// Reports of limits to and from other instances.
#include "LimitExchange.h"

namespace Goldcrestwall::Gateway {

namespace {

// As many as there can be limits.
constexpr std::size_t MaxReports = 4000;

} // namespace

void LimitExchange::tell(const std::string &service, const std::shared_ptr<PeerLink> &link, std::uint64_t number, TimePoint now)
{
    for (const auto &[server, limit] : notices_->limits().entries()) {
        const auto *description = view_.server(server.id_);
        const bool isOfService = description != nullptr && description->service_ == service;
        if (!isOfService || isTold(server, link, limit.namedAt_)) {
            continue;
        }
        PlacementReport report;
        report.namedLimit_ = limit.rate_;
        report.limitAge_ = now - limit.namedAt_;
        link->send(toMessage(service, 0, server, report));
        recordTold(server, link, number, now);
    }
}

void LimitExchange::recordTold(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t nextNumber, TimePoint now)
{
    if (reports_.size() >= MaxReports && !reports_.contains(server)) {
        // The coordinators are told again when the next requests are sent to them.
        reports_.clear();
    }
    reports_[server] = {link, nextNumber, now};
}

void LimitExchange::recordReported(const FinishMessage &message, const std::optional<PlacedRequest> &placed, TimePoint now)
{
    const auto report = toPlacementReport(message);
    if (report.namedLimit_) {
        // If this instance has not placed the request, it does not know when it was sent.
        const TimePoint sentAt = placed ? placed->placedAt_ : TimePoint();
        notices_->limits().recordReported({message.server_, message.startTime_}, *report.namedLimit_, now - report.limitAge_, sentAt, now);
    } else if (placed && report.outcome_ == PlacementOutcome::Answered) {
        notices_->limits().recordAbsent(placed->server_, placed->placedAt_, now);
    }
}

bool LimitExchange::mayBeExceeded(const PlacementResult &place, TimePoint now)
{
    const auto server = place.server();
    if (notices_->limits().isEmpty() || notices_->limits().find(server) == nullptr || place.limit_ == LimitKnowledge::Counted) {
        return false;
    }
    const bool hasEnded = place.limit_ == LimitKnowledge::Ended && wasToldBefore(server, place.coordinator_.lock(), place.number_);
    if (hasEnded) {
        notices_->limits().recordAbsent(server, now, now);
        reports_.erase(server);
    }
    return !hasEnded;
}

bool LimitExchange::isTold(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, TimePoint namedAt) const
{
    const auto report = reports_.find(server);
    return report != reports_.end() && report->second.toldAt_ >= namedAt && report->second.link_.lock() == link;
}

bool LimitExchange::wasToldBefore(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t number) const
{
    const auto report = reports_.find(server);
    return link && report != reports_.end() && number >= report->second.nextNumber_ && report->second.link_.lock() == link;
}

} // namespace Goldcrestwall::Gateway
