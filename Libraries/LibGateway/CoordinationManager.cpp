// Election of coordinators, their periodic work and the health checks of their servers.
#include "CoordinationManager.h"

#include "Tasks.h"

namespace Goldcrestwall::Gateway {

namespace {

// Extra time that an instance waits for each instance ranked before it, before it claims a service.
constexpr Duration RankDelay = 250ms;
// How much later than others an instance claims a service of an earlier era if it may not know all earlier granters, so that it would wait for them longer.
constexpr std::size_t NewcomerRanks = 4;
// How long an instance must be much better suited than the coordinator before it takes over, so that an instance that has just started
// is connected to its peers.
constexpr Duration TakeoverDelay = 2s;
// A granter that has yielded takes its service back after this time. Less than the hold time of its grants.
constexpr Duration TakeBackDelay = 1s;
constexpr Duration CommitRetryInterval = 300ms;
constexpr Duration HealthInterval = 500ms;
constexpr Duration HealthTimeout = 400ms;

} // namespace

CoordinationManager::CoordinationManager(asio::io_context &loop,
                                         MemberEntry self,
                                         GrantTimings grantTimings,
                                         bool isFirstStart,
                                         const StoreView &view,
                                         Platform::PlatformStore &store,
                                         const StoreLink &storeLink,
                                         PeerNetwork &network,
                                         PlacementService &placement,
                                         AnnouncementRecorder &announcements,
                                         EventLog &log)
    : loop_(loop)
    , self_(std::move(self))
    , grantTimings_(grantTimings)
    , isFirstStart_(isFirstStart)
    , view_(view)
    , store_(store)
    , storeLink_(storeLink)
    , network_(network)
    , placement_(placement)
    , announcements_(announcements)
    , log_(log)
    , shardCallClient_(loop)
    , healthClient_(loop)
{
}

void CoordinationManager::stepDown(TimePoint now)
{
    hasSteppedDown_ = true;
    refresh(now);
}

void CoordinationManager::refresh(TimePoint now)
{
    std::set<std::string> coordinated;
    const auto configuration = view_.configuration();
    if (configuration && !hasSteppedDown_) {
        for (const auto &service : configuration->services_) {
            // A coordinator whose entry has expired, or was lost, continues to place requests until another one is known.
            const bool isContinuing = isVacant(service.name_) && placement_.isCoordinating(service.name_);
            if (isContinuing || (!isVacant(service.name_) && isOwn(view_.coordinator(service.name_)))) {
                coordinated.insert(service.name_);
            }
        }
    }
    for (const auto &service : coordinated) {
        if (!placement_.isCoordinating(service)) {
            log_.write(LogLine("coordinating").add("service", service).add("storeVersion", view_.at()), LogImportance::State, now);
        }
    }
    std::erase_if(shards_, [&](const auto &entry) {
        if (coordinated.contains(entry.first)) {
            return false;
        }
        log_.write(LogLine("coordination-ended").add("service", entry.first).add("storeVersion", view_.at()), LogImportance::State, now);
        entry.second->stop();
        rightsUntil_.erase(entry.first);
        return true;
    });
    for (const auto &service : coordinated) {
        const auto *description = configuration->service(service);
        if (description->isSharded_ && !shards_.contains(service)) {
            shards_[service] = std::make_shared<ShardService>(
                loop_, service, grantTimings_, isFirstStart_, view_, store_, shardCallClient_, placement_, announcements_, storeLink_, self_.name_, log_);
        }
    }
    placement_.setCoordinated(std::move(coordinated), now);
}

bool CoordinationManager::isOwn(const CoordinatorEntry *coordinator) const
{
    return coordinator != nullptr && coordinator->member_.name_ == self_.name_ && coordinator->member_.incarnation_ == self_.incarnation_;
}

bool CoordinationManager::isVacant(const std::string &service) const
{
    const auto *coordinator = view_.coordinator(service);
    return coordinator == nullptr || !coordinator->isStored();
}

TimePoint CoordinationManager::grantsUntil(const std::string &service, const ShardService &shards, TimePoint now)
{
    const auto *coordinator = view_.coordinator(service);
    const auto renewal = renewals_.find(service);
    const bool isOfEarlierEra = coordinator == nullptr ? renewal != renewals_.end() && renewal->second.lease_.era_ < view_.at().era_ : !coordinator->isStored();
    auto &rightUntil = rightsUntil_[service];
    if (isOfEarlierEra || storeLink_.isEraOutdated()) {
        return rightUntil;
    }
    rightUntil = TimePoint();
    const bool isOther = coordinator != nullptr && (!isOwn(coordinator) || coordinator->isYielding_);
    const auto *stored = view_.assignment(service);
    const bool isSucceeded = coordinator == nullptr && !isLastGranter(self_.name_, stored == nullptr ? nullptr : &stored->assignment_);
    if (isOther || isSucceeded || yielded_.contains(service) || (coordinator == nullptr && renewal == renewals_.end())) {
        return {};
    }
    // An entry that has ended, but was not replaced, gives the same time as before: a successor counts from a claim that comes later.
    const auto lease = coordinator == nullptr ? renewal->second.lease_ : coordinator->lease_;
    const TimePoint confirmedAt = std::max(entryRenewedAt(service, lease), storeLink_.readAt());
    rightUntil = grantsAllowedUntil(confirmedAt, claimsWithheldUntil(shards.standbys(), now));
    return rightUntil;
}

TimePoint CoordinationManager::entryRenewedAt(const std::string &service, StoreLeaseId lease)
{
    auto &renewal = renewals_[service];
    if (renewal.lease_ != lease) {
        renewal = {lease, TimePoint()};
    }
    // A lease that was registered anew does not renew an entry that ended with an earlier one.
    if (storeLink_.lease() == lease) {
        renewal.renewedAt_ = std::max(renewal.renewedAt_, storeLink_.renewedAt());
    }
    return renewal.renewedAt_;
}

std::vector<TimePoint> CoordinationManager::claimsWithheldUntil(const std::vector<std::string> &instances, TimePoint now) const
{
    std::map<std::string, TimePoint> byInstance;
    for (const auto &link : network_.openLinks(now)) {
        // A peer that knows more of the store may have claimed the service, or know who has.
        if (link->version() <= view_.at()) {
            byInstance[link->instance()] = link->claimsWithheldUntil();
        }
    }
    std::vector<TimePoint> withheldUntil;
    withheldUntil.reserve(instances.size());
    for (const auto &instance : instances) {
        withheldUntil.push_back(byInstance[instance]);
    }
    return withheldUntil;
}

void CoordinationManager::runGranter(const std::string &service, ShardService &shards, TimePoint now)
{
    const auto *coordinator = view_.coordinator(service);
    const TimePoint until = grantsUntil(service, shards, now);
    const bool isLeased = coordinator != nullptr && coordinator->lease_ == storeLink_.lease() && storeLink_.isLeaseValid(now);
    shards.run(until, isLeased && storeLink_.isCurrent(now), now);
}

void CoordinationManager::run(bool isStopping, TimePoint now)
{
    const bool isValid = storeLink_.isLeaseValid(now);
    for (const auto &[service, shards] : shards_) {
        runGranter(service, *shards, now);
    }
    checkSuspects(now);
    const auto configuration = view_.configuration();
    if (!configuration || isStopping || !isValid || !storeLink_.isCurrent(now)) {
        // Those that precede this instance may be kept from the store as well, and have to get their time once it is back.
        vacantSince_.clear();
        return;
    }
    for (const auto &service : configuration->services_) {
        elect(service.name_, now);
    }
}

std::vector<InstanceProfile> CoordinationManager::instancesWithClaims() const
{
    auto instances = view_.instances();
    if (const auto own = std::ranges::find(instances, self_.name_, &InstanceProfile::name_); own != instances.end()) {
        own->coordinatedServices_ += static_cast<std::uint32_t>(claiming_.size());
    }
    return instances;
}

void CoordinationManager::elect(const std::string &service, TimePoint now)
{
    const auto *coordinator = view_.coordinator(service);
    if (!isVacant(service)) {
        vacantSince_.erase(service);
        if (isOwn(coordinator) && isSharded(service)) {
            considerYielding(service, *coordinator, now);
        } else {
            considerTakeover(service, *coordinator, now);
        }
        return;
    }
    betterSince_.erase(service);
    yielded_.erase(service);
    const auto [vacant, isNew] = vacantSince_.try_emplace(service, now);
    if (now - vacant->second >= RankDelay * static_cast<Duration::rep>(ownClaimRank(service))) {
        startClaim(service, coordinator == nullptr ? view_.missingVersion() : coordinator->version_, false);
    }
}

bool CoordinationManager::isSharded(const std::string &service) const
{
    const auto configuration = view_.configuration();
    const auto *description = configuration ? configuration->service(service) : nullptr;
    return description != nullptr && description->isSharded_;
}

std::size_t CoordinationManager::ownClaimRank(const std::string &service) const
{
    if (placement_.isCoordinating(service)) {
        return 0;
    }
    const auto *entry = view_.assignment(service);
    const auto standbys = entry == nullptr ? std::vector<std::string>() : entry->assignment_.granter_.standbys_;
    const bool isOfEarlierEra = entry != nullptr && entry->assignment_.era_ < view_.at().era_;
    const std::size_t newcomerRanks = isOfEarlierEra && !view_.knowsAllEraMembers() ? NewcomerRanks : 0;
    return 1 + newcomerRanks + claimRank(service, self_.name_, standbys, instancesWithClaims());
}

void CoordinationManager::considerYielding(const std::string &service, const CoordinatorEntry &coordinator, TimePoint now)
{
    if (coordinator.isYielding_) {
        if (now - yieldedAt_.try_emplace(service, now).first->second >= TakeBackDelay) {
            startClaim(service, coordinator.version_, true);
        }
        return;
    }
    yieldedAt_.erase(service);
    const auto yielded = yielded_.find(service);
    if (yielded != yielded_.end() && yielded->second == coordinator.writtenAt_) {
        // The write that says so has not been seen yet.
        return;
    }
    yielded_.erase(service);
    if (!hasMuchBetterInstance(service)) {
        betterSince_.erase(service);
    } else if (now - betterSince_.try_emplace(service, now).first->second >= TakeoverDelay) {
        betterSince_.erase(service);
        startYielding(service, coordinator, now);
    }
}

bool CoordinationManager::hasMuchBetterInstance(const std::string &service) const
{
    const auto instances = instancesWithClaims();
    return isMuchBetterCoordinator(service, firstRankedInstance(service, instances), self_.name_, instances);
}

void CoordinationManager::startYielding(const std::string &service, const CoordinatorEntry &coordinator, TimePoint now)
{
    yielded_[service] = coordinator.writtenAt_;
    rightsUntil_.erase(service);
    if (const auto shards = shards_.find(service); shards != shards_.end()) {
        shards->second->endRight(now);
    }
    spawn(loop_, log_, "yield", [this, service, coordinator] {
        return yieldService(service, coordinator);
    });
}

Task<void> CoordinationManager::yieldService(std::string service, CoordinatorEntry coordinator)
{
    const auto expectedVersion = coordinator.version_;
    coordinator.isYielding_ = true;
    RepeatedWrite write;
    for (;;) {
        const auto outcome = co_await commitCoordinator(service, expectedVersion, coordinator);
        log_.write(LogLine("coordination-yielded")
                       .add("service", service)
                       .add("outcome", Platform::storeOutcomeName(outcome))
                       .add("known", expectedVersion)
                       .add("storeVersion", view_.at()),
                   LogImportance::State,
                   bootNow());
        const auto state = write.record(outcome);
        if (state == WriteState::NotApplied) {
            yielded_.erase(service);
        }
        if (state != WriteState::InDoubt) {
            co_return;
        }
        // Until the outcome is known, another instance may be about to take over.
        co_await sleepFor(loop_, CommitRetryInterval);
    }
}

void CoordinationManager::considerTakeover(const std::string &service, const CoordinatorEntry &coordinator, TimePoint now)
{
    if (isSharded(service) && !coordinator.isYielding_) {
        betterSince_.erase(service);
        return;
    }
    if (!isMuchBetterCoordinator(service, self_.name_, coordinator.member_.name_, instancesWithClaims())) {
        betterSince_.erase(service);
        return;
    }
    const auto better = betterSince_.try_emplace(service, now).first;
    if (coordinator.isYielding_ || now - better->second >= TakeoverDelay) {
        startClaim(service, coordinator.version_, true);
    }
}

void CoordinationManager::startClaim(const std::string &service, StoreVersion expectedVersion, bool hasPredecessorYielded)
{
    if (!claiming_.insert(service).second) {
        return;
    }
    spawn(loop_, log_, "claim", [this, service, expectedVersion, hasPredecessorYielded] {
        return claim(service, expectedVersion, hasPredecessorYielded);
    });
}

Task<Platform::StoreOutcome> CoordinationManager::commitCoordinator(std::string service, StoreVersion expectedVersion, CoordinatorEntry coordinator)
{
    Platform::StoreWrite write;
    write.conditions_.push_back({coordinatorKey(service), expectedVersion});
    write.puts_.push_back({coordinatorKey(service), encodeCoordinator(coordinator), {}, coordinator.lease_});
    const auto commit = co_await store_.commit(std::move(write));
    co_return commit.outcome_;
}

Task<void> CoordinationManager::claim(std::string service, StoreVersion expectedVersion, bool hasPredecessorYielded)
{
    CoordinatorEntry coordinator;
    coordinator.member_ = self_;
    coordinator.lease_ = storeLink_.lease();
    coordinator.member_.era_ = coordinator.lease_.era_;
    coordinator.hasPredecessorYielded_ = hasPredecessorYielded;
    const auto outcome = co_await commitCoordinator(service, expectedVersion, coordinator);
    log_.write(LogLine("coordination-claimed")
                   .add("service", service)
                   .add("outcome", Platform::storeOutcomeName(outcome))
                   .add("known", expectedVersion)
                   .add("storeVersion", view_.at()),
               LogImportance::State,
               bootNow());
    // The watch reports which instance won.
    co_await sleepFor(loop_, RankDelay);
    claiming_.erase(service);
}

void CoordinationManager::checkSuspects(TimePoint now)
{
    const auto configuration = view_.configuration();
    if (!configuration) {
        return;
    }
    std::erase_if(healthCheckedAt_, [this](const auto &entry) {
        return view_.server(entry.first) == nullptr;
    });
    for (const auto &service : configuration->services_) {
        auto *pool = placement_.pool(service.name_);
        if (pool == nullptr || !placement_.isCoordinating(service.name_)) {
            continue;
        }
        for (const auto &id : pool->serversToProbe(now)) {
            const auto *server = view_.server(id);
            auto &checkedAt = healthCheckedAt_[id];
            const bool isDue = now - checkedAt >= HealthInterval;
            const bool isAllowed = server != nullptr && isDue && announcements_.decide(server->incarnation(), false, now).isAllowed();
            if (isAllowed && pool->tryCountHealthCheck(id, now)) {
                checkedAt = now;
                spawn(loop_, log_, "health-check", [this, name = service.name_, description = *server, path = service.healthPath_] {
                    return checkHealth(name, description, path);
                });
            }
        }
    }
}

Task<void> CoordinationManager::checkHealth(std::string service, ServerDescription server, std::string path)
{
    const TimePoint sentAt = bootNow();
    ExchangeOptions options;
    options.timeout_ = HealthTimeout;
    const auto result =
        co_await healthClient_.exchange(server.address_, Platform::makeHealthRequest(server.address_, path), options, std::make_shared<ExchangeHandle>());
    const TimePoint now = bootNow();
    auto *pool = placement_.pool(service);
    if (pool == nullptr) {
        co_return;
    }
    Platform::HealthReport report;
    if (result.outcome_ == ExchangeOutcome::Answered) {
        report = Platform::readHealth(result.response_);
        announcements_.record(server.incarnation(), result.response_, sentAt, now);
    }
    const bool isHealthy = report.isHealthy_ && report.serverId_ == server.id_;
    log_.write(LogLine("health-checked")
                   .add("server", server.id_)
                   .add("outcome", exchangeOutcomeName(result.outcome_))
                   .add("healthy", isHealthy)
                   .addDuration("warmupLeftMs", report.warmupLeft_),
               LogImportance::Kept,
               now);
    if (isHealthy) {
        pool->recordHealthCheck(server.id_, report.warmupLeft_, report.load_, now);
        placement_.scheduleDecision(service);
    } else if (result.outcome_ != ExchangeOutcome::Answered) {
        pool->recordHealthCheckFailure(server.id_, now);
    }
}

} // namespace Goldcrestwall::Gateway
