// Queues requests at the coordinator or locally and delivers the decisions.
#include "PlacementService.h"

#include <boost/asio/post.hpp>

namespace Goldcrestwall::Gateway {

namespace {

// A coordinator that does not respond to a new request within this time is bypassed.
constexpr Duration FirstAnswerTimeout = 80ms;
constexpr Duration BypassTime = 300ms;
// How often a queued request checks that its coordinator is still responding.
constexpr Duration LivenessInterval = 200ms;
// Interval between decisions on queued requests when no event triggers one.
constexpr Duration DecisionInterval = 20ms;
constexpr Duration RejectionRetryAfter = 100ms;

} // namespace

const char *placementSourceName(PlacementSource source)
{
    switch (source) {
    case PlacementSource::Coordinator:
        return "coordinator";
    case PlacementSource::RemoteCoordinator:
        return "remote-coordinator";
    case PlacementSource::Local:
        return "alone";
    }
    return "unknown";
}

PlacementService::PlacementService(asio::io_context &loop,
                                   std::string instance,
                                   std::string domain,
                                   const StoreView &view,
                                   PeerNetwork &network,
                                   RetryBudgetSettings retryBudgetSettings,
                                   std::shared_ptr<ServerNotices> notices,
                                   EventLog &log)
    : loop_(loop)
    , instance_(std::move(instance))
    , domain_(std::move(domain))
    , view_(view)
    , network_(network)
    , retryBudgetSettings_(retryBudgetSettings)
    , notices_(notices)
    , log_(log)
    , limits_(view, std::move(notices))
{
}

void PlacementService::refresh(TimePoint now)
{
    const auto configuration = view_.configuration();
    if (!configuration) {
        return;
    }
    for (const auto &service : configuration->services_) {
        auto &state = services_[service.name_];
        if (!state.pool_) {
            state.pool_ = std::make_unique<ServicePool>(service, retryBudgetSettings_, stableHash(instance_ + service.name_), notices_);
            state.timer_ = std::make_unique<asio::steady_timer>(loop_);
        }
        state.pool_->setService(service);
        state.pool_->setServers(view_.serversOf(service.name_), now);
        const auto *assignment = view_.assignment(service.name_);
        state.pool_->setAssignment(assignment == nullptr ? ShardAssignment() : assignment->assignment_);
        const auto scope = isCoordinating(service.name_) ? PoolScope::Shared : PoolScope::Local;
        state.pool_->setScope(scope, std::max<std::size_t>(1, view_.members().size()), now);
        scheduleDecision(service.name_);
    }
}

void PlacementService::setCoordinated(std::set<std::string> services, TimePoint now)
{
    if (services == coordinated_) {
        return;
    }
    for (const auto &service : services) {
        if (!coordinated_.contains(service)) {
            for (const auto &[number, held] : heldPlacements_) {
                if (held.service_ == service && services_.contains(service)) {
                    services_[service].pool_->restorePlacement({instance_, number}, held.server_, held.workKind_, now);
                }
            }
        }
    }
    coordinated_ = std::move(services);
    refresh(now);
}

ServicePool *PlacementService::pool(const std::string &service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second.pool_.get();
}

KeyLoad *PlacementService::keyLoad(const std::string &service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.keyLoad_;
}

std::size_t PlacementService::queuedCount() const
{
    std::size_t count = 0;
    for (const auto &[service, state] : services_) {
        count += state.pool_ ? state.pool_->waitingCount() : 0;
    }
    return count;
}

std::size_t PlacementService::heldPlacementCount(const std::string &server) const
{
    return static_cast<std::size_t>(std::ranges::count_if(heldPlacements_, [&server](const auto &entry) {
        return entry.second.server_ == server;
    }));
}

std::shared_ptr<PeerLink> PlacementService::coordinatorLink(const std::string &service, TimePoint now) const
{
    const auto *coordinator = view_.coordinator(service);
    if (coordinator == nullptr || coordinator->member_.name_ == instance_) {
        return nullptr;
    }
    const auto state = services_.find(service);
    if (state != services_.end() && now < state->second.bypassedUntil_) {
        return nullptr;
    }
    return network_.link(coordinator->member_.peerAddress_, now);
}

Task<PlacementResult>
PlacementService::acquire(std::string service, PlacementRequest request, PlacementDecider decider, std::shared_ptr<RequestControl> control)
{
    const TimePoint startedAt = bootNow();
    const std::uint64_t number = nextNumber_++;
    request.id_ = {instance_, number};
    request.domain_ = domain_;
    PlacementResult result;
    result.number_ = number;
    if (!services_.contains(service)) {
        result.retryAfter_ = RejectionRetryAfter;
        co_return result;
    }
    auto pending = std::make_shared<Pending>(loop_);
    pending_[number] = pending;
    control->setOnAbandon([pending] {
        pending->timer_.cancel();
    });
    const std::string workKind = request.workKind_;
    bool isAnswered = false;
    if (!isCoordinating(service) && decider == PlacementDecider::Coordinator) {
        if (const auto link = coordinatorLink(service, startedAt)) {
            isAnswered = co_await awaitCoordinator(service, pending, link, request, control);
        }
    }
    if (!isAnswered && !control->isAbandoned()) {
        co_await awaitPool(service, pending, std::move(request), control);
    }
    pending_.erase(number);
    control->setOnAbandon({});
    if (pending->result_) {
        result = *pending->result_;
        result.number_ = number;
    } else {
        result.reason_ = RejectReason::Overload;
        result.retryAfter_ = RejectionRetryAfter;
    }
    result.waited_ = bootNow() - startedAt;
    if (result.isPlaced_) {
        heldPlacements_[number] = {service, result.server_, workKind};
    }
    co_return result;
}

Task<bool> PlacementService::awaitCoordinator(const std::string &service,
                                              const std::shared_ptr<Pending> &pending,
                                              const std::shared_ptr<PeerLink> &link,
                                              PlacementRequest request,
                                              const std::shared_ptr<RequestControl> &control)
{
    const TimePoint startedAt = bootNow();
    limits_.tell(service, link, request.id_.number_, startedAt);
    link->send(toMessage(service, request, startedAt));
    for (;;) {
        const TimePoint now = bootNow();
        const Duration left = std::max<Duration>(Duration::zero(), request.deadline_ - now);
        pending->timer_.expires_after(std::chrono::microseconds(std::min(left, pending->isQueued_ ? LivenessInterval : FirstAnswerTimeout)));
        ErrorCode error;
        co_await pending->timer_.async_wait(redirectErrorTo(error));
        if (pending->result_) {
            co_return true;
        }
        const TimePoint later = bootNow();
        if (control->isAbandoned() || later >= request.deadline_) {
            link->send(CancelMessage{service, request.id_.number_});
            co_return true;
        }
        const bool isUnresponsive = pending->isDeclined_ || (!pending->isQueued_ && later - startedAt >= FirstAnswerTimeout);
        if (isUnresponsive || network_.link(link->address(), later) != link) {
            link->send(CancelMessage{service, request.id_.number_});
            services_[service].bypassedUntil_ = later + BypassTime;
            log_.write(LogLine("coordinator-passed-over")
                           .add("service", service)
                           .add("declined", pending->isDeclined_)
                           .add("address", link->address())
                           .addDuration("waitedMs", later - startedAt),
                       LogImportance::Kept,
                       later);
            co_return false;
        }
    }
}

Task<void> PlacementService::awaitPool(const std::string &service,
                                       const std::shared_ptr<Pending> &pending,
                                       PlacementRequest request,
                                       const std::shared_ptr<RequestControl> &control)
{
    const PlacementId id = request.id_;
    const TimePoint deadline = request.deadline_;
    const TimePoint askedAt = bootNow();
    auto &state = services_[service];
    if (request.key_) {
        state.keyLoad_.record(*request.key_, state.pool_->typicalWork(request), askedAt);
    }
    state.pool_->enqueue(std::move(request), askedAt);
    scheduleDecision(service);
    while (!pending->result_ && !control->isAbandoned()) {
        const TimePoint now = bootNow();
        if (now >= deadline) {
            break;
        }
        pending->timer_.expires_after(std::chrono::microseconds(deadline - now));
        ErrorCode error;
        co_await pending->timer_.async_wait(redirectErrorTo(error));
    }
    if (!pending->result_) {
        services_[service].pool_->cancel(id);
    }
}

void PlacementService::release(const std::string &service, const PlacementResult &place, const PlacementReport &report, TimePoint now)
{
    const auto held = heldPlacements_.find(place.number_);
    if (held == heldPlacements_.end()) {
        return;
    }
    const std::string workKind = held->second.workKind_;
    heldPlacements_.erase(held);
    const auto state = services_.find(service);
    if (state == services_.end()) {
        return;
    }
    if (place.source_ == PlacementSource::RemoteCoordinator) {
        state->second.pool_->observe(place.server_, workKind, report, now);
    }
    state->second.pool_->finish({instance_, place.number_}, report, now);
    if (!isCoordinating(service)) {
        reportFinished(service, place, report, now);
    } else if (place.source_ != PlacementSource::Coordinator && wasSent(report)) {
        state->second.pool_->countForeignRequest(place.server(), now);
    }
    scheduleDecision(service);
}

void PlacementService::reportFinished(const std::string &service, const PlacementResult &place, const PlacementReport &report, TimePoint now)
{
    const auto *coordinator = view_.coordinator(service);
    const auto link = coordinator == nullptr ? nullptr : network_.link(coordinator->member_.peerAddress_, now);
    if (!link) {
        return;
    }
    auto message = toMessage(service, place.number_, place.server(), report);
    if (wasSent(report) && place.coordinator_.lock() != link) {
        message.isForeign_ = true;
        message.server_ = place.server_;
        message.startTime_ = place.startTime_;
    }
    if (report.namedLimit_) {
        limits_.recordTold(place.server(), link, nextNumber_, now);
    }
    link->send(message);
}

void PlacementService::resolve(std::uint64_t number, const PlacementResult &result)
{
    const auto found = pending_.find(number);
    if (found == pending_.end() || found->second->result_) {
        return;
    }
    found->second->result_ = result;
    found->second->timer_.cancel();
}

void PlacementService::scheduleDecision(const std::string &service)
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.isDecisionScheduled_ || !found->second.pool_->hasWaiting()) {
        return;
    }
    found->second.isDecisionScheduled_ = true;
    asio::post(loop_, [this, service] {
        services_[service].isDecisionScheduled_ = false;
        decide(service);
    });
}

void PlacementService::decide(const std::string &service)
{
    auto &state = services_[service];
    const TimePoint now = bootNow();
    const auto decisions = state.pool_->decide(now);
    for (const auto &placed : decisions.placements_) {
        deliver(state, placed, now);
    }
    for (const auto &rejected : decisions.rejections_) {
        deliver(state, rejected);
    }
    confirmWaiting(state);
    if (state.pool_->hasWaiting()) {
        state.timer_->expires_after(std::chrono::microseconds(DecisionInterval));
        state.timer_->async_wait([this, service](ErrorCode error) {
            if (!error) {
                scheduleDecision(service);
            }
        });
    }
}

void PlacementService::confirmWaiting(ServiceState &state)
{
    for (const auto &id : std::exchange(state.unconfirmed_, {})) {
        const auto requester = state.requesters_.find(id.instance_);
        const auto link = requester == state.requesters_.end() ? nullptr : requester->second.lock();
        if (link && state.pool_->isWaiting(id)) {
            link->send(QueuedMessage{id.number_});
        }
    }
}

void PlacementService::deliver(ServiceState &state, const Placement &placed, TimePoint now)
{
    const auto *server = view_.server(placed.server_);
    const std::string address = server == nullptr ? std::string() : server->address_;
    const UnixMilliseconds startTime = server == nullptr ? 0 : server->startTime_;
    if (placed.id_.instance_ == instance_) {
        PlacementResult result;
        result.isPlaced_ = true;
        result.server_ = placed.server_;
        result.address_ = address;
        result.startTime_ = startTime;
        result.version_ = view_.at();
        result.limit_ = placed.limit_;
        result.source_ = isCoordinating(state.pool_->service().name_) ? PlacementSource::Coordinator : PlacementSource::Local;
        if (!pending_.contains(placed.id_.number_)) {
            state.pool_->finish(placed.id_, PlacementReport(), now);
        }
        resolve(placed.id_.number_, result);
        return;
    }
    const auto requester = state.requesters_.find(placed.id_.instance_);
    const auto link = requester == state.requesters_.end() ? nullptr : requester->second.lock();
    if (link) {
        const auto version = view_.at();
        link->send(PlacementMessage{state.pool_->service().name_,
                                    placed.id_.number_,
                                    placed.server_,
                                    address,
                                    startTime,
                                    version.revision_,
                                    static_cast<std::uint8_t>(placed.limit_),
                                    version.era_});
    } else {
        state.pool_->finish(placed.id_, PlacementReport(), now);
    }
}

void PlacementService::deliver(ServiceState &state, const Rejection &rejected)
{
    if (rejected.id_.instance_ == instance_) {
        PlacementResult result;
        result.reason_ = rejected.reason_;
        result.retryAfter_ = rejected.retryAfter_;
        result.limitedServer_ = rejected.limitedServer_;
        result.source_ = isCoordinating(state.pool_->service().name_) ? PlacementSource::Coordinator : PlacementSource::Local;
        resolve(rejected.id_.number_, result);
        return;
    }
    const auto requester = state.requesters_.find(rejected.id_.instance_);
    if (const auto link = requester == state.requesters_.end() ? nullptr : requester->second.lock()) {
        link->send(RejectionMessage{rejected.id_.number_, static_cast<std::uint8_t>(rejected.reason_), rejected.retryAfter_.count(), rejected.limitedServer_});
    }
}

} // namespace Goldcrestwall::Gateway
