// Queue and placement of the requests of one service on its backend servers.
#include "ServicePool.h"

#include <algorithm>
#include <tuple>

namespace Goldcrestwall::Gateway {

namespace {

// Factor by which a cold server is expected to be slower.
constexpr double ColdSlowness = 2;
// Fraction of the expected service time by which the expected completion may exceed the deadline, since service times vary.
constexpr double DeadlineToleranceFraction = 0.3;
// Multiple of the expected service time that must remain until the latency objective for a request to count as on time.
constexpr double OnTimeFactor = 1.1;
// Penalty for a server in another failure domain, as a fraction of the typical service time: traffic between failure domains is
// charged by the byte.
constexpr double CrossDomainPenaltyFraction = 0.2;
// An overdue request is expected to complete after this fraction of its expected service time.
constexpr double OverdueRemainderFraction = 0.3;
// A slot that is never released is freed after this time.
constexpr Duration MaxPlacementAge = 15s;
// How long the reported number of requests of other instances is taken into account.
constexpr Duration ForeignReportLifetime = 300ms;
// A request does not start sooner while its key's holder cannot serve it yet.
constexpr Duration MinKeyDelay = 20ms;
// After an urgent request, a slot is reserved for the next one for this long.
constexpr Duration UrgentReserveTime = 1s;
constexpr std::size_t MinServersForReserve = 4;
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration MaxRetryAfter = 1s;
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

std::vector<ServicePool::SlotForecast> ServicePool::forecastSlots(TimePoint now)
{
    updateLimits(now);
    std::vector<SlotForecast> forecasts;
    forecasts.reserve(servers_.size());
    for (auto &[id, server] : servers_) {
        server.forecast_.reset();
        if (!isUsable(server, now)) {
            continue;
        }
        std::erase_if(server.running_, [this, now](const RunningRequest &running) {
            return now - running.startedAt_ > MaxPlacementAge && serverOfPlacement_.erase(running.id_) > 0;
        });
        SlotForecast forecast;
        forecast.server_ = &server;
        for (const auto &running : server.running_) {
            const TimePoint expected = running.startedAt_ + running.expected_;
            forecast.slots_.push_back(expected > now ? expected : now + scaled(running.expected_, OverdueRemainderFraction));
        }
        if (scope_ == PoolScope::Local && now - server.foreignReportedAt_ < ForeignReportLifetime) {
            forecast.slots_.insert(forecast.slots_.end(), server.foreignRequests_, server.foreignReportedAt_ + ForeignReportLifetime);
        }
        std::ranges::sort(forecast.slots_);
        const std::size_t slots = server.input_.description_.slots_;
        if (forecast.slots_.size() > slots) {
            forecast.slots_.erase(forecast.slots_.begin(), forecast.slots_.end() - static_cast<std::ptrdiff_t>(slots));
        }
        forecast.slots_.insert(forecast.slots_.begin(), slots - forecast.slots_.size(), now);
        forecast.earliest_ = std::max(server.backoffUntil_, server.nextRequestAt(now, random_));
        forecast.interval_ = server.requestInterval(now);
        server.forecast_ = forecasts.size();
        forecasts.push_back(std::move(forecast));
    }
    return forecasts;
}

const PoolServer *ServicePool::holderOf(const PlacementRequest &request) const
{
    const ShardRange *range = service_.isSharded_ && request.key_ ? assignment_.rangeOf(*request.key_) : nullptr;
    const auto found = range == nullptr ? servers_.end() : servers_.find(range->holder_.server_);
    return found == servers_.end() ? nullptr : &found->second;
}

auto ServicePool::rankOf(const PlacementRequest &request, double meanFactor, TimePoint now) const
{
    // Requests that can still meet their latency objective come first, then more urgent ones, then retries of rejected requests, then
    // those whose objective is nearest.
    const auto *holder = holderOf(request);
    const double factor = holder == nullptr ? meanFactor : holder->speed_.factor(now);
    const bool isLate = now + scaled(typicalWork(request), OnTimeFactor * factor) > request.latencyObjectiveAt_;
    return std::make_tuple(isLate, request.priority_, !request.isCallerRetry_, request.latencyObjectiveAt_);
}

void ServicePool::sortWaiting(TimePoint now)
{
    double factors = 0;
    std::size_t usable = 0;
    for (const auto &[id, server] : servers_) {
        if (isUsable(server, now)) {
            factors += server.speed_.factor(now);
            ++usable;
        }
    }
    const double meanFactor = usable == 0 ? 1 : factors / static_cast<double>(usable);
    std::vector<std::pair<decltype(rankOf(waiting_.front(), meanFactor, now)), std::size_t>> order;
    order.reserve(waiting_.size());
    for (std::size_t index = 0; index < waiting_.size(); ++index) {
        order.emplace_back(rankOf(waiting_[index], meanFactor, now), index);
    }
    std::ranges::sort(order);
    std::vector<PlacementRequest> sorted;
    sorted.reserve(waiting_.size());
    for (const auto &[rank, index] : order) {
        sorted.push_back(std::move(waiting_[index]));
    }
    waiting_ = std::move(sorted);
}

TimePoint ServicePool::keyAvailableAt(const PlacementRequest &request, TimePoint now) const
{
    if (!service_.isSharded_ || !request.key_) {
        return now;
    }
    const auto next = std::ranges::upper_bound(pendingRanges_, *request.key_, {}, &PendingRange::first_);
    const bool isPending = next != pendingRanges_.begin() && std::prev(next)->contains(*request.key_);
    // A handover that is overdue is expected to be completed by one of the next calls.
    return isPending ? std::max(std::prev(next)->availableAt_, now + MinKeyDelay) : now;
}

ServicePool::Candidate ServicePool::evaluate(const PlacementRequest &request, SlotForecast &forecast, TimePoint now) const
{
    const auto &server = *forecast.server_;
    const auto &description = server.input_.description_;
    Candidate candidate;
    candidate.forecast_ = &forecast;
    candidate.startAt_ = std::max({forecast.slots_.front(), forecast.earliest_, keyAvailableAt(request, now)});
    candidate.endAt_ = candidate.startAt_ + expectedWork(request, server, candidate.startAt_, now);
    const bool isNear = request.domain_.empty() || request.domain_ == description.domain_;
    const Duration distance = isNear ? Duration::zero() : scaled(typicalWork(request), CrossDomainPenaltyFraction);
    candidate.cost_ = candidate.endAt_ + distance + server.failurePenalty(now);
    candidate.isAvoided_ = std::ranges::find(request.avoidedServers_, description.id_) != request.avoidedServers_.end();
    candidate.isKnown_ = server.hasReceivedRequest_ || candidate.startAt_ > now || candidate.endAt_ > request.latencyObjectiveAt_;
    return candidate;
}

std::optional<ServicePool::Candidate> ServicePool::chooseServer(const PlacementRequest &request, std::vector<SlotForecast> &forecasts, TimePoint now)
{
    if (isBoundToHolder(request)) {
        const auto *holder = holderOf(request);
        if (holder == nullptr || !holder->forecast_ || isHeldBack(*holder, request, now)) {
            return std::nullopt;
        }
        return evaluate(request, forecasts[*holder->forecast_], now);
    }
    std::optional<Candidate> best;
    for (auto &forecast : forecasts) {
        if (isHeldBack(*forecast.server_, request, now)) {
            continue;
        }
        const auto candidate = evaluate(request, forecast, now);
        if (!best || candidate.rank() < best->rank()) {
            best = candidate;
        }
    }
    return best;
}

Rejection ServicePool::rejectLate(const PlacementRequest &request, const Candidate &candidate, TimePoint now)
{
    const auto &server = *candidate.forecast_->server_;
    const Duration wait = std::max<Duration>(candidate.startAt_ - now, MinRetryAfter);
    if (!server.limitRate_) {
        const Duration bounded = std::min(wait, MaxRetryAfter);
        return {request.id_, RejectReason::Overload, bounded + jitter(bounded / 2)};
    }
    // A coordinator allows more than an instance that decides alone, which soon asks it again.
    const Duration untilAllowed = scope_ == PoolScope::Shared ? wait : std::min(wait, MaxRetryAfter);
    return {request.id_, RejectReason::ServerLimit, untilAllowed + jitter(MinRetryAfter), server.input_.description_.id_};
}

Rejection ServicePool::rejectUnplaceable(const PlacementRequest &request, const std::vector<SlotForecast> &forecasts, TimePoint now)
{
    const auto *holder = holderOf(request);
    std::optional<TimePoint> earliest;
    for (const auto &forecast : forecasts) {
        const bool mayRun = !isBoundToHolder(request) || forecast.server_ == holder;
        if (mayRun && isHeldBack(*forecast.server_, request, now)) {
            const auto until = notices_->heldBackUntil(forecast.server_->input_.description_.incarnation(), request.id_.instance_);
            earliest = std::min(earliest.value_or(until), until);
        }
    }
    if (earliest) {
        return {request.id_, RejectReason::HeldBack, *earliest - now + jitter(MinRetryAfter * 2)};
    }
    const auto reason = forecasts.empty() || !request.key_ ? RejectReason::NoServer : RejectReason::NoOwner;
    return {request.id_, reason, MinRetryAfter * 2 + jitter(MinRetryAfter * 2)};
}

bool ServicePool::mustReserveSlot(const PlacementRequest &request, const std::vector<SlotForecast> &forecasts, TimePoint now) const
{
    if (request.priority_ <= topPriority_ || now - topPriorityQueuedAt_ > UrgentReserveTime || forecasts.size() < MinServersForReserve) {
        return false;
    }
    std::size_t freeSlots = 0;
    for (const auto &forecast : forecasts) {
        if (forecast.earliest_ <= now) {
            freeSlots += static_cast<std::size_t>(std::ranges::count_if(forecast.slots_, [now](TimePoint freeAt) {
                return freeAt <= now;
            }));
        }
    }
    return freeSlots <= 1;
}

Duration ServicePool::jitter(Duration span)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(0, span.count()))(random_));
}

void ServicePool::place(const PlacementRequest &request, Candidate &candidate, PlacementDecisions &decisions, TimePoint now)
{
    auto &server = *candidate.forecast_->server_;
    server.hasReceivedRequest_ = true;
    server.countRequest(now);
    const auto &id = server.input_.description_.id_;
    server.running_.push_back({request.id_, request.workKind_, now, candidate.endAt_ - candidate.startAt_, true});
    serverOfPlacement_[request.id_] = id;
    decisions.placements_.push_back({request.id_, id, limitKnowledge(server)});
}

PlacementDecisions ServicePool::decide(TimePoint now)
{
    // 1. Forecast when each slot becomes free, from the requests that run now.
    // 2. Visit the queued requests in order of rank and choose for each the slot where it completes first.
    // 3. If that slot is free now, the request is placed. Otherwise it stays queued and the slot is reserved in the forecast only, so
    //    that lower-ranked requests do not count on it. Requests that would miss their deadline are rejected at once.
    PlacementDecisions decisions;
    if (waiting_.empty()) {
        return decisions;
    }
    auto forecasts = forecastSlots(now);
    sortWaiting(now);
    std::vector<PlacementRequest> remaining;
    for (auto &request : waiting_) {
        if (request.attempt_ == AttemptKind::Retry) {
            if (!budget_.tryTake(scope_ == PoolScope::Shared ? 1 : budgetShare(), now)) {
                decisions.rejections_.push_back({request.id_, RejectReason::RetryBudget, MinRetryAfter + jitter(MinRetryAfter)});
                continue;
            }
            request.attempt_ = AttemptKind::Replacement;
        }
        auto candidate = chooseServer(request, forecasts, now);
        if (!candidate) {
            decisions.rejections_.push_back(rejectUnplaceable(request, forecasts, now));
            continue;
        }
        const Duration work = candidate->endAt_ - candidate->startAt_;
        if (candidate->endAt_ - scaled(work, DeadlineToleranceFraction) > request.deadline_) {
            decisions.rejections_.push_back(rejectLate(request, *candidate, now));
            continue;
        }
        const bool isFree = candidate->startAt_ <= now;
        if (isFree && !request.key_ && mustReserveSlot(request, forecasts, now)) {
            remaining.push_back(std::move(request));
            continue;
        }
        if (isFree) {
            place(request, *candidate, decisions, now);
        }
        auto &forecast = *candidate->forecast_;
        forecast.slots_.front() = candidate->endAt_;
        std::ranges::sort(forecast.slots_);
        if (forecast.interval_ > Duration::zero()) {
            forecast.earliest_ = isFree ? forecast.server_->nextRequestAt(now, random_) : candidate->startAt_ + forecast.interval_;
        }
        if (!isFree) {
            remaining.push_back(std::move(request));
        }
    }
    waiting_ = std::move(remaining);
    return decisions;
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
