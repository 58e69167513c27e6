// State of the servers and queue of one service.
#include "ServicePool.h"

#include <algorithm>
#include <tuple>

namespace Goldcrestwall::Gateway {

namespace {

// Factor by which a cold server is expected to be slower.
constexpr double ColdSlowness = 2;
constexpr double KeyedWorkLearningRate = 0.02;
// Fraction of the retry budget that instances without a coordinator use; it is divided by their number.
constexpr double LocalScopeFraction = 0.5;

} // namespace

ServicePool::ServicePool(Service service, RetryBudgetSettings settings, std::uint64_t randomSeed, std::shared_ptr<const ServerNotices> notices)
    : service_(std::move(service))
    , notices_(std::move(notices))
    , budget_(settings)
    , random_(randomSeed)
{
}

void ServicePool::setService(Service service)
{
    service_ = std::move(service);
}

double ServicePool::budgetShare() const
{
    return scope_ == PoolScope::Shared ? 1 : LocalScopeFraction / static_cast<double>(std::max<std::size_t>(1, instanceCount_));
}

void ServicePool::setScope(PoolScope scope, std::size_t instanceCount, TimePoint now)
{
    scope_ = scope;
    instanceCount_ = instanceCount;
    for (auto &[id, server] : servers_) {
        updateWarmupRate(server, now);
    }
}

RatePart ServicePool::ratePart() const
{
    return scope_ == PoolScope::Shared ? RatePart::Whole : RatePart::Fraction;
}

void ServicePool::updateWarmupRate(PoolServer &server, TimePoint now) const
{
    const bool hasRate = service_.warmup_ > Duration::zero();
    server.setWarmupAllowance(hasRate ? std::make_optional(allowanceOf(service_.warmupRate_, ratePart(), instanceCount_)) : std::nullopt, now);
}

void ServicePool::updateLimits(TimePoint now)
{
    const auto &limits = notices_->limits();
    for (auto &[id, server] : servers_) {
        const auto *limit = limits.isEmpty() ? nullptr : limits.find(server.input_.description_.incarnation());
        server.setLimitAllowance(limit == nullptr ? std::nullopt : std::make_optional(limitAllowance(limit->rate_, ratePart(), instanceCount_)), now);
    }
}

LimitKnowledge ServicePool::limitKnowledge(const PoolServer &server) const
{
    if (server.limitRate_) {
        return LimitKnowledge::Counted;
    }
    return notices_->limits().hasEnded(server.input_.description_.incarnation()) ? LimitKnowledge::Ended : LimitKnowledge::None;
}

void ServicePool::setServers(const std::vector<PoolServerInput> &servers, TimePoint now)
{
    std::map<std::string, PoolServer> next;
    for (const auto &input : servers) {
        const auto &id = input.description_.id_;
        const auto known = servers_.find(id);
        const bool isSameProcess = known != servers_.end() && known->second.input_.description_.startTime_ == input.description_.startTime_;
        PoolServer server = isSameProcess ? std::move(known->second) : PoolServer();
        if (isSameProcess && server.input_.isEvacuated_ && !input.isEvacuated_) {
            server.setSuspect(now);
        }
        if (!isSameProcess && known != servers_.end()) {
            server.speed_.slowness_ = known->second.speed_.slowness_;
            server.speed_.samples_ = 0;
        }
        if (!isSameProcess || server.input_.description_ != input.description_) {
            server.coldUntil_ = std::max(server.coldUntil_, input.describedAt_ + input.description_.warmupLeft_);
        }
        server.input_ = input;
        updateWarmupRate(server, now);
        next.emplace(id, std::move(server));
    }
    servers_ = std::move(next);
}

void ServicePool::setAssignment(ShardAssignment assignment)
{
    assignment_ = std::move(assignment);
}

void ServicePool::setPendingRanges(std::vector<PendingRange> pending)
{
    pendingRanges_ = std::move(pending);
}

void ServicePool::enqueue(PlacementRequest request, TimePoint now)
{
    if (request.attempt_ == AttemptKind::First) {
        budget_.recordRequest(now);
    }
    if (topPriorityQueuedAt_ == TimePoint() || request.priority_ <= topPriority_) {
        topPriority_ = request.priority_;
        topPriorityQueuedAt_ = now;
    }
    if (request.key_) {
        const double work = std::chrono::duration<double>(typicalWork(request)).count();
        keyedWorkSeconds_ = keyedWorkSeconds_ == 0 ? work : keyedWorkSeconds_ + KeyedWorkLearningRate * (work - keyedWorkSeconds_);
    }
    waiting_.push_back(std::move(request));
}

bool ServicePool::isWaiting(const PlacementId &id) const
{
    return std::ranges::find(waiting_, id, &PlacementRequest::id_) != waiting_.end();
}

void ServicePool::cancel(const PlacementId &id)
{
    std::erase_if(waiting_, [&id](const PlacementRequest &request) {
        return request.id_ == id;
    });
}

void ServicePool::finish(const PlacementId &id, const PlacementReport &report, TimePoint now)
{
    const auto place = serverOfPlacement_.find(id);
    if (place == serverOfPlacement_.end()) {
        return;
    }
    const auto found = servers_.find(place->second);
    serverOfPlacement_.erase(place);
    if (found == servers_.end()) {
        return;
    }
    auto &server = found->second;
    const auto running = std::ranges::find(server.running_, id, &RunningRequest::id_);
    if (running == server.running_.end()) {
        return;
    }
    const std::string workKind = running->workKind_;
    if (running->isCounted_ && !wasSent(report)) {
        server.uncountRequest(now);
    }
    server.running_.erase(running);
    learn(server, workKind, report, now);
}

void ServicePool::restorePlacement(const PlacementId &id, const std::string &server, const std::string &workKind, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || serverOfPlacement_.contains(id)) {
        return;
    }
    serverOfPlacement_[id] = server;
    found->second.running_.push_back({id, workKind, now, estimator_.typicalWork(workKind, 50ms)});
}

std::optional<PlacedRequest> ServicePool::placementOf(const PlacementId &id) const
{
    const auto place = serverOfPlacement_.find(id);
    const auto server = place == serverOfPlacement_.end() ? servers_.end() : servers_.find(place->second);
    if (server == servers_.end()) {
        return std::nullopt;
    }
    const auto running = std::ranges::find(server->second.running_, id, &RunningRequest::id_);
    if (running == server->second.running_.end()) {
        return std::nullopt;
    }
    return PlacedRequest{server->second.input_.description_.incarnation(), running->startedAt_};
}

void ServicePool::countForeignRequest(const ServerIncarnation &server, TimePoint now)
{
    const auto found = servers_.find(server.id_);
    if (found != servers_.end() && found->second.input_.description_.incarnation() == server) {
        found->second.countRequest(now);
    }
}

bool ServicePool::tryCountHealthCheck(const std::string &server, TimePoint now)
{
    updateLimits(now);
    const auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.limitRate_) {
        return true;
    }
    auto &rate = *found->second.limitRate_;
    if (rate.nextAt(now, random_) > now) {
        return false;
    }
    rate.take(now);
    return true;
}

void ServicePool::removeInstance(const std::string &instance)
{
    std::erase_if(waiting_, [&instance](const PlacementRequest &request) {
        return request.id_.instance_ == instance;
    });
    for (auto &[id, server] : servers_) {
        std::erase_if(server.running_, [&instance](const RunningRequest &running) {
            return running.id_.instance_ == instance;
        });
    }
    std::erase_if(serverOfPlacement_, [&instance](const auto &place) {
        return place.first.instance_ == instance;
    });
}

void ServicePool::observe(const std::string &server, const std::string &workKind, const PlacementReport &report, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        learn(found->second, workKind, report, now);
    }
}

void ServicePool::learn(PoolServer &server, const std::string &workKind, const PlacementReport &report, TimePoint now)
{
    if (report.load_) {
        server.recordLoad(*report.load_, now);
    }
    if (report.outcome_ == PlacementOutcome::TimedOut || report.outcome_ == PlacementOutcome::Abandoned) {
        // The duration is only a lower bound of the service time: learn from it if it exceeds the expectation.
        const Duration expected = scaled(estimator_.typicalWork(workKind, report.duration_), server.speed_.factor(now));
        if (report.duration_ > expected) {
            estimator_.learn(workKind, server.speed_, report.duration_, now);
        }
        return;
    }
    if (report.outcome_ != PlacementOutcome::Answered) {
        server.recordFailure(report.outcome_, now);
        return;
    }
    server.recordSuccess();
    if (!server.isCold(now)) {
        estimator_.learn(workKind, server.speed_, report.duration_, now);
    }
}

void ServicePool::recordHealthCheck(const std::string &server, Duration warmupLeft, const std::optional<ReportedLoad> &load, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        found->second.recordHealthCheck(warmupLeft, load, now);
    }
}

void ServicePool::recordHealthCheckFailure(const std::string &server, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        found->second.recordFailure(PlacementOutcome::Unreachable, now);
    }
}

void ServicePool::recordShardCallFailure(const std::string &server, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        found->second.setSuspect(now);
    }
}

bool ServicePool::isUsable(const PoolServer &server, TimePoint now) const
{
    // The store's signs are in the description already.
    const auto &description = server.input_.description_;
    const bool isLeaving = notices_->hasAnnounced() && notices_->isLeaving(description.incarnation(), now);
    return description.state_ == ServerState::Ready && !server.input_.isEvacuated_ && !isLeaving;
}

bool ServicePool::isHeldBack(const PoolServer &server, const PlacementRequest &request, TimePoint now) const
{
    return notices_->hasHeldBack(now) && now < notices_->heldBackUntil(server.input_.description_.incarnation(), request.id_.instance_);
}

Duration ServicePool::typicalWork(const PlacementRequest &request) const
{
    return estimator_.typicalWork(request.workKind_, request.assumedWork_);
}

Duration ServicePool::expectedWork(const PlacementRequest &request, const PoolServer &server, TimePoint begin, TimePoint now) const
{
    const double cold = server.isCold(now) && service_.warmup_ > Duration::zero() ? ColdSlowness : 1;
    return scaled(typicalWork(request), server.speed_.factorAt(begin, now) * cold);
}

std::vector<std::string> ServicePool::serversToProbe(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, server] : servers_) {
        const bool isUnknown = !server.hasPassedHealthCheck_ && !server.speed_.isReported();
        if ((server.isSuspect(now) || isUnknown) && isUsable(server, now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<ServerLoadView> ServicePool::serverLoads(TimePoint now) const
{
    std::vector<ServerLoadView> views;
    for (const auto &[id, server] : servers_) {
        const auto &description = server.input_.description_;
        const bool isEligible = isUsable(server, now) && !server.isSuspectTooLong(now);
        ServerLoadView view{id, description.startTime_, description.slots_, server.speed_.typicalFactor(), server.isCold(now), isEligible};
        if (server.limitRate_ && keyedWorkSeconds_ > 0) {
            view.limitedSlots_ = server.limitRate_->allowance().rate_ * keyedWorkSeconds_;
        }
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace Goldcrestwall::Gateway
