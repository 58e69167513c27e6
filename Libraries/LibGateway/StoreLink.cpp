// The store watch, its replacement by relayed changes, and the lease.
#include "StoreLink.h"

#include "Tasks.h"

namespace Goldcrestwall::Gateway {

using Platform::StoreOutcome;

namespace {

// How long the store may hold a watch request open without changes.
constexpr Duration WatchWait = 5s;
// Delay before the next watch request, so that changes close together arrive in one response.
constexpr Duration WatchCoalescingDelay = 150ms;
constexpr Duration LeaseLifetime = 1500ms;
constexpr Duration LeaseRenewInterval = 500ms;
// All instances together register at this pace, and within `LeaseRenewInterval` at most, when all have lost their leases.
constexpr Duration RegistrationPace = Duration(400);
// The store is reachable while its last response is more recent than this.
constexpr Duration ContactTimeout = 1500ms;
// Shorter outages do not make entries expire.
constexpr Duration MinOutage = 500ms;
// Relayed changes replace an own watch while a peer has confirmed the view within this time. Even if all peers stop, a change takes effect
// within this time plus one complete read.
constexpr Duration RelayTimeout = MaxViewAge;
// How often it is looked at whether the watch is stale, or the store is to be asked for its version.
constexpr Duration SupervisionInterval = 50ms;
constexpr Duration MinBackoff = 60ms;
constexpr Duration MaxBackoff = 700ms;
constexpr std::uint32_t MaxBackoffDoublings = 4;

} // namespace

Duration registrationSpread(std::size_t instances)
{
    return std::min<Duration>(LeaseRenewInterval, RegistrationPace * instances);
}

StoreLink::StoreLink(asio::io_context &loop, Platform::PlatformStore &store, StoreView &view, MemberEntry self, EventLog &log, Handlers handlers)
    : loop_(loop)
    , store_(store)
    , view_(view)
    , self_(std::move(self))
    , log_(log)
    , handlers_(std::move(handlers))
    , random_(stableHash(self_.name_ + self_.incarnation_))
{
    store_.setEraHandler([this](StoreEra before, StoreEra now) {
        beginEra(before, now);
    });
}

void StoreLink::start()
{
    // The previous process of this instance may have withheld its claims.
    claimsWithheldUntil_ = bootNow() + ClaimWithholdTime;
    spawnSupervised(loop_, log_, "watch", [this] {
        return watch();
    });
    spawnSupervised(loop_, log_, "position", [this] {
        return checkPosition();
    });
    spawnSupervised(loop_, log_, "watch-supervision", [this] {
        return superviseWatch();
    });
    spawnSupervised(loop_, log_, "lease", [this] {
        return maintainLease();
    });
}

bool StoreLink::isStoreReachable(TimePoint now) const
{
    return isReachable_ && now - contactAt_ < ContactTimeout;
}

bool StoreLink::isCurrent(TimePoint now) const
{
    return isLoaded_ && (isFollowing_ || !isWatchFailing_) && freshness_.isConfirmed(now) && !isEraOutdated();
}

bool StoreLink::mayFollow(TimePoint now) const
{
    return isLoaded_ && isRelayed_ && (isBrought_ || now - relayedAt_ < RelayTimeout);
}

void StoreLink::recordRelayed(TimePoint confirmedAt)
{
    relayedAt_ = std::max(relayedAt_, confirmedAt);
    if (confirmedAt != TimePoint()) {
        freshness_.recordProof(view_.at(), confirmedAt, view_.at());
    }
}

bool StoreLink::isLeaseValid(TimePoint now) const
{
    return isRegistered_ && now < leaseValidUntil_;
}

Duration StoreLink::withholdClaims(TimePoint now)
{
    if (isLeaseValid(now)) {
        return Duration::zero();
    }
    claimsWithheldUntil_ = now + ClaimWithholdTime;
    return ClaimWithholdTime;
}

void StoreLink::beginEra(StoreEra before, StoreEra now)
{
    const TimePoint time = bootNow();
    const bool isViewOutdated = view_.at().exists() && view_.at().era_ < now;
    if (isViewOutdated || isRegistered_) {
        log_.write(
            LogLine("store-era-changed").add("before", before).add("era", now).add("known", view_.at()).add("lease", lease_), LogImportance::State, time);
    }
    expectVersion({now, 0}, time);
    registersFrom_ = time + registrationDelay();
    endLease();
}

Duration StoreLink::registrationDelay()
{
    const auto instances = view_.instances();
    const bool isCoordinator = std::ranges::any_of(instances, [this](const InstanceProfile &profile) {
        return profile.name_ == self_.name_ && profile.coordinatedServices_ > 0;
    });
    const auto longest = registrationSpread(instances.size()).count();
    return isCoordinator ? Duration::zero() : Duration(std::uniform_int_distribution<Duration::rep>(0, longest)(random_));
}

void StoreLink::endLease()
{
    if (isRegistered_) {
        isRegistered_ = false;
        leaseValidUntil_ = TimePoint();
        handlers_.leaseLost_();
    }
}

void StoreLink::invalidate()
{
    leaseValidUntil_ = TimePoint();
    contactAt_ = TimePoint();
    freshness_.reset();
    relayedAt_ = TimePoint();
}

Duration StoreLink::backoff(std::uint32_t failures)
{
    const Duration longest = std::min<Duration>(MaxBackoff, MinBackoff * (1U << std::min(failures, MaxBackoffDoublings)));
    return longest / 2 + Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count() / 2)(random_));
}

Task<void> StoreLink::awaitRetry(Duration duration)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop_, std::chrono::microseconds(duration));
    retryTimers_.insert(timer);
    ErrorCode error;
    co_await timer->async_wait(redirectErrorTo(error));
    retryTimers_.erase(timer);
}

void StoreLink::retryNow()
{
    for (const auto &timer : retryTimers_) {
        timer->cancel();
    }
}

void StoreLink::recordContact(TimePoint now)
{
    if (!isReachable_) {
        isReachable_ = true;
        // The store may be back for a short time only, and it takes the lease and a complete read to claim a service again.
        retryNow();
        LogLine line("store-connected");
        line.add("era", store_.era());
        if (failingSince_ != TimePoint()) {
            line.addDuration("outageMs", now - failingSince_);
            if (now - failingSince_ >= MinOutage) {
                view_.setExpiryGrace(now + ExpiryGrace);
            }
        }
        log_.write(line, LogImportance::State, now);
    }
    failingSince_ = TimePoint();
    contactAt_ = now;
}

void StoreLink::recordFailure(const char *call, StoreOutcome outcome, TimePoint sentAt, TimePoint now)
{
    if (outcome == StoreOutcome::OtherEra) {
        return;
    }
    if (failingSince_ == TimePoint()) {
        failingSince_ = now;
    }
    if (isReachable_) {
        isReachable_ = false;
        log_.write(LogLine("store-lost").add("call", call).add("outcome", Platform::storeOutcomeName(outcome)).addDuration("tookMs", now - sentAt),
                   LogImportance::State,
                   now);
    }
}

Task<void> StoreLink::watch()
{
    std::uint32_t failures = 0;
    // Complete reads in a row that were soon followed by a watch whose history was gone.
    std::uint32_t vainReads = 0;
    for (;;) {
        if (mayFollow(bootNow())) {
            co_await follow();
            continue;
        }
        if (!isLoaded_ || isFollowing_) {
            if (!co_await load()) {
                co_await awaitRetry(backoff(failures++));
                continue;
            }
            isLoaded_ = true;
            isFollowing_ = false;
            failures = 0;
        }
        watchHandle_ = std::make_shared<ExchangeHandle>();
        watchSentAt_ = bootNow();
        auto changes = co_await store_.watch("", view_.at(), WatchWait, watchHandle_);
        const TimePoint now = bootNow();
        watchHandle_.reset();
        if (changes.outcome_ == StoreOutcome::Done) {
            failures = 0;
            vainReads = 0;
            isWatchFailing_ = false;
            recordContact(now);
            co_await applyChanges(std::move(changes), watchSentAt_);
            continue;
        }
        if (changes.outcome_ == StoreOutcome::Interrupted && !isWatchStale_) {
            // Its connection may be dead. If the next watch misses a change, the store's version will show it.
            log_.write(LogLine("store-watch-renewed").add("storeVersion", view_.at()).addDuration("waitedMs", now - watchSentAt_), LogImportance::State, now);
            continue;
        }
        // An interrupted watch may have missed changes, and a new watch may not report them either if the store is discarding its history.
        // Only a complete read is reliable.
        isLoaded_ = false;
        if (isWatchStale_) {
            isWatchStale_ = false;
            const bool wasJustRead = now - readAt_ < MaxBackoff;
            log_.write(LogLine("store-watch-outdated")
                           .add("storeVersion", view_.at())
                           .add("expected", freshness_.expectedVersion())
                           .addDuration("waitedMs", now - watchSentAt_),
                       LogImportance::State,
                       now);
            if (isEraOutdated() && wasJustRead) {
                // The store does not state the era that peers know of.
                co_await awaitRetry(backoff(vainReads++));
            }
            continue;
        }
        if (changes.outcome_ == StoreOutcome::HistoryCompacted) {
            log_.write(LogLine("store-history-gone").add("storeVersion", view_.at()), LogImportance::State, now);
            if (now - readAt_ >= MaxBackoff) {
                vainReads = 0;
            } else {
                co_await awaitRetry(backoff(vainReads++));
            }
            continue;
        }
        isWatchFailing_ = true;
        recordFailure("watch", changes.outcome_, watchSentAt_, now);
        co_await awaitRetry(backoff(failures++));
    }
}

Task<void> StoreLink::applyChanges(Platform::StoreChanges changes, TimePoint sentAt)
{
    view_.apply(changes.events_, changes.at_, bootNow());
    if (!changes.events_.empty()) {
        handlers_.changed_();
    }
    freshness_.recordProof(changes.at_, sentAt, view_.at());
    freshness_.recordView(view_.at());
    if (!changes.events_.empty()) {
        co_await sleepFor(loop_, WatchCoalescingDelay);
    }
}

Task<void> StoreLink::checkPosition()
{
    std::uint32_t failures = 0;
    TimePoint askedAt;
    for (;;) {
        const TimePoint sentAt = bootNow();
        if (!isWatching() || sentAt < freshness_.checkDueAt(askedAt)) {
            co_await sleepFor(loop_, SupervisionInterval);
            continue;
        }
        const auto answer = co_await store_.readPosition();
        const TimePoint now = bootNow();
        if (answer.outcome_ == StoreOutcome::Done) {
            failures = 0;
            askedAt = sentAt;
            recordContact(now);
            freshness_.recordProof(answer.at_, sentAt, view_.at());
            freshness_.expect(answer.at_, view_.at(), now);
            continue;
        }
        recordFailure("position", answer.outcome_, sentAt, now);
        co_await awaitRetry(backoff(failures++));
    }
}

Task<void> StoreLink::follow()
{
    if (!isFollowing_) {
        isFollowing_ = true;
        log_.write(LogLine("store-watch-left-to-others").add("storeVersion", view_.at()), LogImportance::State, bootNow());
    }
    const TimePoint now = bootNow();
    co_await sleepFor(loop_, std::max<Duration>(SupervisionInterval, relayedAt_ + RelayTimeout - now));
    if (!mayFollow(bootNow())) {
        log_.write(
            LogLine("store-watch-resumed").add("storeVersion", view_.at()).addDuration("viewAgeMs", bootNow() - relayedAt_), LogImportance::State, bootNow());
    }
}

void StoreLink::expectVersion(StoreVersion version, TimePoint now)
{
    const bool wasEraOutdated = isEraOutdated();
    view_.recordEra(version.era_, now);
    freshness_.expect(version, view_.at(), now);
    if (isEraOutdated() && !wasEraOutdated) {
        checkWatch(now);
    }
}

Task<void> StoreLink::superviseWatch()
{
    for (;;) {
        co_await sleepFor(loop_, SupervisionInterval);
        checkWatch(bootNow());
    }
}

void StoreLink::checkWatch(TimePoint now)
{
    freshness_.recordView(view_.at());
    if (isWatching() && watchHandle_ && !watchHandle_->isCancelled() && freshness_.isWatchStale(watchSentAt_, view_.at(), now)) {
        isWatchStale_ = true;
        watchHandle_->cancel();
    }
}

Task<bool> StoreLink::load()
{
    std::vector<Platform::StoreItem> items;
    // Memory of all pages until they are in the view.
    std::vector<std::shared_ptr<MemoryReservation>> memory;
    StoreVersion at;
    std::string after;
    const TimePoint sentAt = bootNow();
    for (bool hasMore = true; hasMore;) {
        const TimePoint pageSentAt = bootNow();
        auto page = co_await store_.readRange("", after);
        if (page.outcome_ != StoreOutcome::Done) {
            recordFailure("range", page.outcome_, pageSentAt, bootNow());
            co_return false;
        }
        // Pages are read at different versions. The watch starts at the first page's version and reports later changes again, but not those of another era.
        at = at.exists() ? at : page.at_;
        if (page.at_.era_ != at.era_) {
            co_return false;
        }
        hasMore = page.hasMore_ && !page.items_.empty();
        after = page.items_.empty() ? std::string() : page.items_.back().key_;
        std::move(page.items_.begin(), page.items_.end(), std::back_inserter(items));
        memory.push_back(std::move(page.memory_));
    }
    const TimePoint now = bootNow();
    recordContact(now);
    isWatchFailing_ = false;
    const auto lateItems = view_.lateItemCount();
    view_.replace(items, at, now);
    readAt_ = sentAt;
    log_.write(LogLine("store-loaded").add("storeVersion", at).add("items", items.size()).add("lateItems", view_.lateItemCount() - lateItems),
               LogImportance::State,
               now);
    handlers_.changed_();
    freshness_.recordProof(at, sentAt, view_.at());
    co_return true;
}

Task<void> StoreLink::maintainLease()
{
    std::uint32_t failures = 0;
    while (!isStopping_) {
        if (!isRegistered_) {
            co_await sleepFor(loop_, std::max<Duration>(Duration::zero(), registersFrom_ - bootNow()));
        }
        if (isStopping_) {
            break;
        }
        if (!isRegistered_ && !co_await registerMember()) {
            co_await awaitRetry(backoff(failures++));
            continue;
        }
        if (failures == 0) {
            co_await sleepFor(loop_, LeaseRenewInterval);
        } else {
            co_await awaitRetry(std::min<Duration>(LeaseRenewInterval, backoff(failures)));
        }
        if (isStopping_) {
            break;
        }
        const TimePoint sentAt = bootNow();
        const auto renewal = co_await store_.renewLease(lease_);
        const TimePoint now = bootNow();
        if (renewal.outcome_ == StoreOutcome::Done) {
            failures = 0;
            recordContact(now);
            leaseValidUntil_ = sentAt + renewal.lifetime_;
            renewedAt_ = sentAt;
            continue;
        }
        ++failures;
        if (renewal.outcome_ == StoreOutcome::LeaseEnded) {
            log_.write(LogLine("lease-lost").add("lease", lease_), LogImportance::State, now);
            endLease();
            continue;
        }
        recordFailure("keep", renewal.outcome_, sentAt, now);
    }
}

Task<bool> StoreLink::registerMember()
{
    const TimePoint sentAt = bootNow();
    const auto lease = co_await store_.grantLease(LeaseLifetime);
    if (lease.outcome_ != StoreOutcome::Done) {
        recordFailure("lease", lease.outcome_, sentAt, bootNow());
        co_return false;
    }
    self_.era_ = lease.id_.era_;
    Platform::StoreWrite write;
    write.puts_.push_back({memberKey(self_.name_), encodeMember(self_), {}, lease.id_});
    const auto commit = co_await store_.commit(std::move(write));
    const TimePoint now = bootNow();
    if (commit.outcome_ != StoreOutcome::Done) {
        recordFailure("register", commit.outcome_, sentAt, now);
        co_return false;
    }
    recordContact(now);
    lease_ = lease.id_;
    leaseValidUntil_ = sentAt + lease.lifetime_;
    renewedAt_ = sentAt;
    isRegistered_ = true;
    log_.write(LogLine("lease-granted").add("lease", lease_).add("storeVersion", commit.version_), LogImportance::State, now);
    co_return true;
}

Task<void> StoreLink::unregister()
{
    isStopping_ = true;
    if (isRegistered_) {
        isRegistered_ = false;
        leaseValidUntil_ = TimePoint();
        co_await store_.revokeLease(lease_);
    }
}

} // namespace Goldcrestwall::Gateway
