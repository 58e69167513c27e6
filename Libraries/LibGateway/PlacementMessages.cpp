// Handles the messages of other instances about placements.
#include "PlacementService.h"

namespace Goldcrestwall::Gateway {

namespace {

LimitKnowledge toLimitKnowledge(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(LimitKnowledge::Ended) ? static_cast<LimitKnowledge>(value) : LimitKnowledge::None;
}

} // namespace

void PlacementService::handlePlacementRequest(const std::shared_ptr<PeerLink> &link, const PlacementRequestMessage &message, TimePoint now)
{
    const auto found = services_.find(message.service_);
    if (found == services_.end() || !isCoordinating(message.service_)) {
        link->send(DeclinedMessage{message.number_});
        return;
    }
    auto &state = found->second;
    state.requesters_[link->instance()] = link;
    auto request = toPlacementRequest(message, link->instance(), now);
    request.domain_ = link->domain();
    if (request.key_) {
        state.keyLoad_.record(*request.key_, state.pool_->typicalWork(request), now);
    }
    state.pool_->enqueue(std::move(request), now);
    state.unconfirmed_.push_back({link->instance(), message.number_});
    scheduleDecision(message.service_);
}

void PlacementService::handleCancel(const std::shared_ptr<PeerLink> &link, const CancelMessage &message)
{
    if (auto *known = pool(message.service_)) {
        known->cancel({link->instance(), message.number_});
    }
}

void PlacementService::handleFinish(const std::shared_ptr<PeerLink> &link, const FinishMessage &message, TimePoint now)
{
    recordReportedSigns(link->instance(), message, now);
    if (auto *known = pool(message.service_)) {
        limits_.recordReported(message, known->placementOf({link->instance(), message.number_}), now);
        if (message.isForeign_) {
            known->countForeignRequest({message.server_, message.startTime_}, now);
        }
        known->finish({link->instance(), message.number_}, toPlacementReport(message), now);
        scheduleDecision(message.service_);
    }
}

void PlacementService::recordReportedSigns(const std::string &instance, const FinishMessage &message, TimePoint now)
{
    const ServerIncarnation server{message.server_, message.startTime_};
    if (message.isServerLeaving_) {
        notices_->recordLeaving(server, {LeavingReason::Announced, NoticeSource::Peer, now, now, {}}, now);
    }
    notices_->holdBack(server, instance, Duration(message.heldBackFor_), now);
}

void PlacementService::handleHeldPlacement(const std::shared_ptr<PeerLink> &link, const HeldPlacementMessage &message, TimePoint now)
{
    if (auto *known = pool(message.service_)) {
        known->restorePlacement({link->instance(), message.number_}, message.server_, message.workKind_, now);
    }
}

void PlacementService::removePeer(const std::shared_ptr<PeerLink> &link)
{
    for (auto &[name, state] : services_) {
        const auto requester = state.requesters_.find(link->instance());
        if (requester != state.requesters_.end() && requester->second.lock() == link) {
            state.requesters_.erase(requester);
            state.pool_->removeInstance(link->instance());
            scheduleDecision(name);
        }
    }
}

void PlacementService::handleQueued(const QueuedMessage &message)
{
    if (const auto found = pending_.find(message.number_); found != pending_.end()) {
        found->second->isQueued_ = true;
    }
}

void PlacementService::handleDeclined(const DeclinedMessage &message)
{
    if (const auto found = pending_.find(message.number_); found != pending_.end()) {
        found->second->isDeclined_ = true;
        found->second->timer_.cancel();
    }
}

void PlacementService::handlePlacement(const std::shared_ptr<PeerLink> &link, const PlacementMessage &message)
{
    const auto found = pending_.find(message.number_);
    if (found == pending_.end() || found->second->result_) {
        // The request was cancelled, rejected or decided locally in the meantime.
        link->send(toMessage(message.service_, message.number_, ServerIncarnation(), PlacementReport()));
        return;
    }
    PlacementResult result;
    result.isPlaced_ = true;
    result.server_ = message.server_;
    result.address_ = message.address_;
    result.startTime_ = message.startTime_;
    result.version_ = message.version();
    result.limit_ = toLimitKnowledge(message.limitKnowledge_);
    result.coordinator_ = link;
    result.source_ = PlacementSource::RemoteCoordinator;
    resolve(message.number_, result);
}

void PlacementService::handleRejection(const RejectionMessage &message)
{
    PlacementResult result;
    result.reason_ =
        message.reason_ <= static_cast<std::uint8_t>(RejectReason::ServerLimit) ? static_cast<RejectReason>(message.reason_) : RejectReason::NoServer;
    result.retryAfter_ = Duration(message.retryAfter_);
    result.limitedServer_ = message.limitedServer_;
    result.source_ = PlacementSource::RemoteCoordinator;
    resolve(message.number_, result);
}

void PlacementService::reportHeldPlacements(const std::string &address, const std::shared_ptr<PeerLink> &link)
{
    for (const auto &[number, held] : heldPlacements_) {
        const auto *coordinator = view_.coordinator(held.service_);
        if (coordinator != nullptr && coordinator->member_.peerAddress_ == address) {
            link->send(HeldPlacementMessage{held.service_, number, held.server_, held.workKind_});
        }
    }
}

} // namespace Goldcrestwall::Gateway
