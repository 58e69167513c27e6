// Decides which queued requests are placed, at which server, and which are rejected.
#include "ServicePool.h"

#include <algorithm>
#include <tuple>

namespace Goldcrestwall::Gateway {

namespace {

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

} // namespace

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

} // namespace Goldcrestwall::Gateway
