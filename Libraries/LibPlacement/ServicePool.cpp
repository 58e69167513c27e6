#include "ServicePool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Goldcrestwall::Gateway {

namespace {

// A cold server takes about this many times as long.
constexpr double ColdSlowness = 2;
// Part of the time that work usually takes, by which an expected end may lie past the deadline: work time varies.
constexpr double OptimismPart = 0.3;
// Part of the time that work usually takes, which must be left until the aim for a request to count as in time.
constexpr double InTimePart = 1.1;
// A server in another failure domain is taken to end a request later by this part of its usual work: what crosses between failure
// domains costs bytes there.
constexpr double DistancePart = 0.2;
// How much later a server that fails all its requests is taken to end one.
constexpr Duration FailurePenalty = 300ms;
constexpr double FailureLearningRate = 0.2;
constexpr double FailureHalfLifeSeconds = 2;
constexpr Duration ShedRest = 30ms;
constexpr Duration FirstUnreachableRest = 200ms;
constexpr std::uint32_t MaxRestDoublings = 3;
// A running request that is overdue is expected to end after this part of its usual work.
constexpr double OverduePart = 0.3;
// A place that was never given back is freed after this time.
constexpr Duration MaxPlaceAge = 15s;
// How long requests of other instances that a server reported are taken into account.
constexpr Duration ForeignLifetime = 300ms;
// How long a range takes to change hands once that has begun.
constexpr Duration HandoverTime = 150ms;
// How long a suspicion holds without a further failure.
constexpr Duration SuspectLifetime = 2500ms;
// A server that was suspect for longer, without one good health answer, may hold no keys.
constexpr Duration MaxSuspicion = 1s;
// Within this time of an urgent request a place is kept free for the next one.
constexpr Duration UrgentMemory = 1s;
constexpr std::size_t MinServersForReserve = 4;
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration MaxRetryAfter = 1s;
// Part of the cold rate that an instance uses while it decides alone, before it is divided by their number.
constexpr double AlonePart = 0.5;

} // namespace

const char *rejectReasonName(RejectReason reason)
{
    switch (reason) {
    case RejectReason::NoServer:
        return "no-server";
    case RejectReason::Overload:
        return "overload";
    case RejectReason::RepeatBudget:
        return "repeat-budget";
    case RejectReason::NoOwner:
        return "no-owner";
    }
    return "unknown";
}

ServicePool::ServicePool(Service service, RepeatTerms terms, std::uint64_t randomSeed)
    : service_(std::move(service))
    , budget_(terms)
    , random_(randomSeed)
{
}

void ServicePool::setService(Service service)
{
    service_ = std::move(service);
}

double ServicePool::coldShare() const
{
    return scope_ == PoolScope::Shared ? 1 : AlonePart / static_cast<double>(std::max<std::size_t>(1, instanceCount_));
}

void ServicePool::setScope(PoolScope scope, std::size_t instanceCount, TimePoint now)
{
    scope_ = scope;
    instanceCount_ = instanceCount;
    for (auto &[id, server] : servers_) {
        server.coldRate_.setRate(service_.warmupRate_ * coldShare(), now);
    }
}

void ServicePool::setServers(const std::vector<PoolServerInput> &servers, TimePoint now)
{
    std::map<std::string, PoolServer> next;
    for (const auto &input : servers) {
        const auto &id = input.description_.id_;
        const auto known = servers_.find(id);
        const bool isSameLife = known != servers_.end() && known->second.input_.description_.born_ == input.description_.born_;
        PoolServer server = isSameLife ? std::move(known->second) : PoolServer();
        if (isSameLife && server.input_.isEvacuated_ && !input.isEvacuated_) {
            setSuspect(server, now);
        }
        if (!isSameLife && known != servers_.end()) {
            server.speed_.slowness_ = known->second.speed_.slowness_;
            server.speed_.samples_ = 0;
        }
        if (!isSameLife || server.input_.description_ != input.description_) {
            server.coldUntil_ = std::max(server.coldUntil_, input.describedAt_ + input.description_.warmupLeft_);
        }
        server.input_ = input;
        server.coldRate_.setRate(service_.warmupRate_ * coldShare(), now);
        next.emplace(id, std::move(server));
    }
    servers_ = std::move(next);
}

void ServicePool::setAssignment(ShardAssignment assignment)
{
    assignment_ = std::move(assignment);
}

void ServicePool::setHeldRanges(std::optional<std::vector<ShardRange>> held)
{
    held_ = std::move(held);
    if (held_) {
        std::ranges::sort(*held_, {}, &ShardRange::first_);
    }
}

void ServicePool::ask(PlaceRequest request, TimePoint now)
{
    if (request.attempt_ == AttemptKind::First) {
        budget_.noteRequest(now);
    }
    if (topPriorityAskedAt_ == TimePoint() || request.priority_ <= topPriority_) {
        topPriority_ = request.priority_;
        topPriorityAskedAt_ = now;
    }
    waiting_.push_back(std::move(request));
}

bool ServicePool::isWaiting(const AskId &id) const
{
    return std::ranges::find(waiting_, id, &PlaceRequest::id_) != waiting_.end();
}

void ServicePool::cancel(const AskId &id)
{
    std::erase_if(waiting_, [&id](const PlaceRequest &request) {
        return request.id_ == id;
    });
}

void ServicePool::finish(const AskId &id, const PlaceReport &report, TimePoint now)
{
    const auto place = places_.find(id);
    if (place == places_.end()) {
        return;
    }
    const auto found = servers_.find(place->second);
    places_.erase(place);
    if (found == servers_.end()) {
        return;
    }
    auto &server = found->second;
    const auto running = std::ranges::find(server.running_, id, &Running::id_);
    if (running == server.running_.end()) {
        return;
    }
    const std::string workKind = running->workKind_;
    server.running_.erase(running);
    learn(server, workKind, report, now);
}

void ServicePool::adopt(const AskId &id, const std::string &server, const std::string &workKind, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || places_.contains(id)) {
        return;
    }
    places_[id] = server;
    found->second.running_.push_back({id, workKind, now, estimator_.usualWork(workKind, 50ms)});
}

void ServicePool::forgetInstance(const std::string &instance)
{
    std::erase_if(waiting_, [&instance](const PlaceRequest &request) {
        return request.id_.instance_ == instance;
    });
    for (auto &[id, server] : servers_) {
        std::erase_if(server.running_, [&instance](const Running &running) {
            return running.id_.instance_ == instance;
        });
    }
    std::erase_if(places_, [&instance](const auto &place) {
        return place.first.instance_ == instance;
    });
}

void ServicePool::observe(const std::string &server, const std::string &workKind, const PlaceReport &report, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        learn(found->second, workKind, report, now);
    }
}

void ServicePool::learn(PoolServer &server, const std::string &workKind, const PlaceReport &report, TimePoint now)
{
    if (report.load_) {
        server.speed_.noteReport(report.load_->delayFactor_, now);
        const std::uint32_t others = report.load_->running_ + report.load_->waiting_;
        const auto own = static_cast<std::uint32_t>(server.running_.size());
        server.foreign_ = others > own ? others - own : 0;
        server.foreignAt_ = now;
    }
    if (report.outcome_ == PlaceOutcome::TimedOut || report.outcome_ == PlaceOutcome::Abandoned) {
        // The work takes at least as long as was waited for it; a shorter wait says nothing.
        const Duration expected = scaled(estimator_.usualWork(workKind, report.duration_), server.speed_.factor(now));
        if (report.duration_ > expected) {
            estimator_.learn(workKind, server.speed_, report.duration_, now);
        }
        return;
    }
    if (report.outcome_ != PlaceOutcome::Answered) {
        noteFailure(server, report.outcome_, now);
        return;
    }
    server.failureShare_ *= 1 - FailureLearningRate;
    server.unreachableCount_ = 0;
    server.restsUntil_ = TimePoint();
    if (!isCold(server, now)) {
        estimator_.learn(workKind, server.speed_, report.duration_, now);
    }
}

void ServicePool::noteFailure(PoolServer &server, PlaceOutcome outcome, TimePoint now)
{
    if (outcome == PlaceOutcome::Unreachable) {
        const std::uint32_t doublings = std::min(server.unreachableCount_, MaxRestDoublings);
        server.restsUntil_ = now + FirstUnreachableRest * (1U << doublings);
        ++server.unreachableCount_;
        setSuspect(server, now);
        return;
    }
    server.failureShare_ += FailureLearningRate * (1 - server.failureShare_);
    server.failedAt_ = now;
    if (outcome == PlaceOutcome::Shed) {
        server.restsUntil_ = std::max(server.restsUntil_, now + ShedRest);
    } else {
        setSuspect(server, now);
    }
}

void ServicePool::noteHealth(const std::string &server, Duration warmupLeft, const std::optional<ReportedLoad> &load, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    auto &known = found->second;
    known.isChecked_ = true;
    known.suspectUntil_ = TimePoint();
    known.unreachableCount_ = 0;
    known.restsUntil_ = TimePoint();
    known.coldUntil_ = warmupLeft > Duration::zero() ? now + warmupLeft : TimePoint();
    if (load) {
        known.speed_.noteReport(load->delayFactor_, now);
    }
}

void ServicePool::noteHealthFailure(const std::string &server, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        noteFailure(found->second, PlaceOutcome::Unreachable, now);
    }
}

void ServicePool::noteOrderFailure(const std::string &server, TimePoint now)
{
    if (const auto found = servers_.find(server); found != servers_.end()) {
        setSuspect(found->second, now);
    }
}

bool ServicePool::isSuspect(const PoolServer &server, TimePoint now)
{
    return now < server.suspectUntil_;
}

void ServicePool::setSuspect(PoolServer &server, TimePoint now)
{
    if (!isSuspect(server, now)) {
        server.suspectSince_ = now;
    }
    server.suspectUntil_ = now + SuspectLifetime;
}

bool ServicePool::isUsable(const PoolServer &server, TimePoint)
{
    return server.input_.description_.state_ == ServerState::Ready && !server.input_.isEvacuated_;
}

bool ServicePool::isCold(const PoolServer &server, TimePoint now)
{
    return isSuspect(server, now) || now < server.coldUntil_;
}

Duration ServicePool::usualWork(const PlaceRequest &request) const
{
    return estimator_.usualWork(request.workKind_, request.assumedWork_);
}

Duration ServicePool::expectedWork(const PlaceRequest &request, const PoolServer &server, TimePoint begin, TimePoint now) const
{
    const double cold = isCold(server, now) && service_.warmup_ > Duration::zero() ? ColdSlowness : 1;
    return scaled(usualWork(request), server.speed_.factorAt(begin, now) * cold);
}

std::vector<ServicePool::Outlook> ServicePool::foresee(TimePoint now)
{
    std::vector<Outlook> outlooks;
    outlooks.reserve(servers_.size());
    for (auto &[id, server] : servers_) {
        server.outlook_.reset();
        if (!isUsable(server, now)) {
            continue;
        }
        std::erase_if(server.running_, [this, now](const Running &running) {
            return now - running.startedAt_ > MaxPlaceAge && places_.erase(running.id_) > 0;
        });
        Outlook outlook;
        outlook.server_ = &server;
        for (const auto &running : server.running_) {
            const TimePoint expected = running.startedAt_ + running.expected_;
            outlook.slots_.push_back(expected > now ? expected : now + scaled(running.expected_, OverduePart));
        }
        if (scope_ == PoolScope::Alone && now - server.foreignAt_ < ForeignLifetime) {
            outlook.slots_.insert(outlook.slots_.end(), server.foreign_, server.foreignAt_ + ForeignLifetime);
        }
        std::ranges::sort(outlook.slots_);
        const std::size_t slots = server.input_.description_.slots_;
        if (outlook.slots_.size() > slots) {
            outlook.slots_.erase(outlook.slots_.begin(), outlook.slots_.end() - static_cast<std::ptrdiff_t>(slots));
        }
        outlook.slots_.insert(outlook.slots_.begin(), slots - outlook.slots_.size(), now);
        outlook.earliest_ = std::max(now, server.restsUntil_);
        if (isCold(server, now) && service_.warmup_ > Duration::zero()) {
            outlook.earliest_ = std::max(outlook.earliest_, server.coldRate_.nextTokenAt(now));
        }
        server.outlook_ = outlooks.size();
        outlooks.push_back(std::move(outlook));
    }
    return outlooks;
}

const ServicePool::PoolServer *ServicePool::holderOf(const PlaceRequest &request) const
{
    const ShardRange *range = service_.isSharded_ && request.key_ ? assignment_.rangeOf(*request.key_) : nullptr;
    const auto found = range == nullptr ? servers_.end() : servers_.find(range->holder_.server_);
    return found == servers_.end() ? nullptr : &found->second;
}

auto ServicePool::rankOf(const PlaceRequest &request, double meanFactor, TimePoint now) const
{
    // Requests that can still meet their aim go first, then the more urgent, then those whose callers have come back, then those
    // with the least time.
    const auto *holder = holderOf(request);
    const double factor = holder == nullptr ? meanFactor : holder->speed_.factor(now);
    const bool isLate = now + scaled(usualWork(request), InTimePart * factor) > request.aimAt_;
    return std::make_tuple(isLate, request.priority_, !request.isReturn_, request.aimAt_);
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
    std::vector<PlaceRequest> sorted;
    sorted.reserve(waiting_.size());
    for (const auto &[rank, index] : order) {
        sorted.push_back(std::move(waiting_[index]));
    }
    waiting_ = std::move(sorted);
}

bool ServicePool::isHeld(const PlaceRequest &request) const
{
    if (!held_ || !request.key_) {
        return true;
    }
    const auto next = std::ranges::upper_bound(*held_, *request.key_, {}, &ShardRange::first_);
    return next != held_->begin() && std::prev(next)->contains(*request.key_);
}

ServicePool::Choice ServicePool::weigh(const PlaceRequest &request, Outlook &outlook, TimePoint now) const
{
    const auto &server = *outlook.server_;
    const auto &description = server.input_.description_;
    Choice choice;
    choice.outlook_ = &outlook;
    choice.startAt_ = std::max(outlook.slots_.front(), outlook.earliest_);
    if (service_.isSharded_ && !isHeld(request)) {
        choice.startAt_ = std::max(choice.startAt_, now + HandoverTime);
    }
    choice.endAt_ = choice.startAt_ + expectedWork(request, server, choice.startAt_, now);
    const double age = std::chrono::duration<double>(now - server.failedAt_).count();
    const bool isNear = request.domain_.empty() || request.domain_ == description.domain_;
    const Duration distance = isNear ? Duration::zero() : scaled(usualWork(request), DistancePart);
    choice.cost_ = choice.endAt_ + distance + scaled(FailurePenalty, server.failureShare_ * std::exp2(-age / FailureHalfLifeSeconds));
    choice.isAvoided_ = std::ranges::find(request.avoid_, description.id_) != request.avoid_.end();
    choice.isKnown_ = server.isTried_ || choice.startAt_ > now || choice.endAt_ > request.aimAt_;
    return choice;
}

std::optional<ServicePool::Choice> ServicePool::choose(const PlaceRequest &request, std::vector<Outlook> &outlooks, TimePoint now)
{
    if (service_.isSharded_ && request.key_) {
        const auto *holder = holderOf(request);
        if (holder == nullptr || !holder->outlook_) {
            return std::nullopt;
        }
        return weigh(request, outlooks[*holder->outlook_], now);
    }
    std::optional<Choice> best;
    for (auto &outlook : outlooks) {
        const auto choice = weigh(request, outlook, now);
        if (!best || choice.rank() < best->rank()) {
            best = choice;
        }
    }
    return best;
}

bool ServicePool::mustLeaveRoom(const PlaceRequest &request, const std::vector<Outlook> &outlooks, TimePoint now) const
{
    if (request.priority_ <= topPriority_ || now - topPriorityAskedAt_ > UrgentMemory || outlooks.size() < MinServersForReserve) {
        return false;
    }
    std::size_t freeSlots = 0;
    for (const auto &outlook : outlooks) {
        if (outlook.earliest_ <= now) {
            freeSlots += static_cast<std::size_t>(std::ranges::count_if(outlook.slots_, [now](TimePoint freeAt) {
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

void ServicePool::place(const PlaceRequest &request, Choice &choice, PlaceDecisions &decisions, TimePoint now)
{
    auto &server = *choice.outlook_->server_;
    server.isTried_ = true;
    if (isCold(server, now)) {
        server.coldRate_.take(now);
    }
    const auto &id = server.input_.description_.id_;
    server.running_.push_back({request.id_, request.workKind_, now, choice.endAt_ - choice.startAt_});
    places_[request.id_] = id;
    decisions.placed_.push_back({request.id_, id});
}

PlaceDecisions ServicePool::decide(TimePoint now)
{
    // 1. Foresee when each slot is free, from what runs now.
    // 2. Go through the requests in order of their rank and give each the place where it ends first.
    // 3. A place that is free now is given out; one that is free later is reserved in the outlook only, so that the requests that
    //    follow see it taken. What would end too late is rejected at once.
    PlaceDecisions decisions;
    if (waiting_.empty()) {
        return decisions;
    }
    auto outlooks = foresee(now);
    sortWaiting(now);
    std::vector<PlaceRequest> remaining;
    for (auto &request : waiting_) {
        if (request.attempt_ == AttemptKind::Repeat) {
            if (!budget_.tryTake(scope_ == PoolScope::Shared ? 1 : coldShare(), now)) {
                decisions.rejected_.push_back({request.id_, RejectReason::RepeatBudget, MinRetryAfter + jitter(MinRetryAfter)});
                continue;
            }
            request.attempt_ = AttemptKind::Replacement;
        }
        auto choice = choose(request, outlooks, now);
        if (!choice) {
            const auto reason = outlooks.empty() || !request.key_ ? RejectReason::NoServer : RejectReason::NoOwner;
            decisions.rejected_.push_back({request.id_, reason, MinRetryAfter * 2 + jitter(MinRetryAfter * 2)});
            continue;
        }
        const Duration work = choice->endAt_ - choice->startAt_;
        if (choice->endAt_ - scaled(work, OptimismPart) > request.deadline_) {
            const Duration wait = std::clamp(choice->startAt_ - now, MinRetryAfter, MaxRetryAfter);
            decisions.rejected_.push_back({request.id_, RejectReason::Overload, wait + jitter(wait / 2)});
            continue;
        }
        const bool isFree = choice->startAt_ <= now;
        if (isFree && !request.key_ && mustLeaveRoom(request, outlooks, now)) {
            remaining.push_back(std::move(request));
            continue;
        }
        if (isFree) {
            place(request, *choice, decisions, now);
        }
        auto &outlook = *choice->outlook_;
        outlook.slots_.front() = choice->endAt_;
        std::ranges::sort(outlook.slots_);
        if (isCold(*outlook.server_, now) && service_.warmup_ > Duration::zero()) {
            outlook.earliest_ = isFree
                ? outlook.server_->coldRate_.nextTokenAt(now)
                : choice->startAt_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (service_.warmupRate_ * coldShare())));
        }
        if (!isFree) {
            remaining.push_back(std::move(request));
        }
    }
    waiting_ = std::move(remaining);
    return decisions;
}

std::vector<std::string> ServicePool::suspects(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, server] : servers_) {
        const bool isUnknown = !server.isChecked_ && !server.speed_.isReported();
        if ((isSuspect(server, now) || isUnknown) && isUsable(server, now)) {
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
        const bool isLongSuspect = isSuspect(server, now) && now - server.suspectSince_ > MaxSuspicion;
        views.push_back({id, description.born_, description.slots_, server.speed_.usualFactor(), isCold(server, now), isUsable(server, now) && !isLongSuspect});
    }
    return views;
}

} // namespace Goldcrestwall::Gateway
