// Keeps the view of the store up to date and this instance registered in the store.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/StoreView.h>
#include <LibGateway/ViewFreshness.h>

#include <random>

namespace Goldcrestwall::Gateway {

// Time over which so many instances register again when all of them have lost their leases.
Duration registrationSpread(std::size_t instances);

// Watches the store, renews this instance's lease and writes its member entry. A watch may be silent for long, so the store is also asked for its version
// while this instance watches it: that confirms the view, and shows a change that the watch has not reported. While another instance of the failure domain
// watches the store and relays its changes, this instance does not watch, so that store calls do not grow with the number of instances.
class StoreLink
{
public:
    struct Handlers
    {
        // The view has changed.
        std::function<void()> changed_;
        // The lease and all entries attached to it have expired.
        std::function<void()> leaseLost_;
    };

    StoreLink(asio::io_context &loop, Platform::PlatformStore &store, StoreView &view, MemberEntry self, EventLog &log, Handlers handlers);

    void start();
    // Ends the lease, so that other instances can take over its services at once.
    Task<void> unregister();

    // Whether the store has responded to this instance lately, which says nothing about the view.
    bool isStoreReachable(TimePoint now) const;
    // Whether the view was recently confirmed as complete, by the store's responses to this instance or to its peers, and is of the present era.
    bool isCurrent(TimePoint now) const;
    // Whether the store is known to have come back from an older copy since the view was read.
    bool isEraOutdated() const
    {
        return freshness_.isEraOutdated(view_.at());
    }
    // The highest era of the store that this instance knows of, from the store's responses or from peers.
    StoreEra knownEra() const
    {
        return std::max({store_.era(), freshness_.expectedVersion().era_, view_.at().era_});
    }
    // Whether the view was recently confirmed as complete. It may be of an earlier era.
    bool isConfirmed(TimePoint now) const
    {
        return freshness_.isConfirmed(now);
    }
    // When the view was last confirmed as complete.
    TimePoint confirmedAt() const
    {
        return freshness_.confirmedAt();
    }
    // How old the view may be, by the store's responses to this instance or to its peers; nothing if none has confirmed it since the start or a
    // suspension. A change that is being applied is not older.
    std::optional<Duration> viewAge(TimePoint now) const
    {
        return freshness_.age(now);
    }
    // Whether this instance watches the store itself.
    bool isWatching() const
    {
        return isLoaded_ && !isFollowing_;
    }
    // Sets whether another instance watches the store and relays its changes, and whether a peer brings the content of a new era, so that this instance need
    // not read it itself.
    void setRelayed(bool isRelayed, bool isBrought)
    {
        isRelayed_ = isRelayed;
        isBrought_ = isBrought;
    }
    // Records that the store confirmed a peer's view, which this instance also has, at that time.
    void recordRelayed(TimePoint confirmedAt);
    // Whether this instance's lease has certainly not expired.
    bool isLeaseValid(TimePoint now) const;
    // The present lease, or the last one if it has ended.
    StoreLeaseId lease() const
    {
        return lease_;
    }
    // When the last successful renewal of that lease was sent.
    TimePoint renewedAt() const
    {
        return renewedAt_;
    }
    // When the last complete read of the store that succeeded was sent. All claims that the store accepted before are in the view, or have
    // ended.
    TimePoint readAt() const
    {
        return readAt_;
    }
    // Withholds claims of services for `ClaimWithholdTime` if this instance has no valid lease. Returns for how long they are withheld now.
    Duration withholdClaims(TimePoint now);
    TimePoint claimsWithheldUntil() const
    {
        return claimsWithheldUntil_;
    }
    // A peer knows this version: if the watch does not report it soon, the watch is stale; if it is of a higher era, at once.
    void expectVersion(StoreVersion version, TimePoint now);
    // A peer's message is of this era: the content that it tells of may not have been read by anyone.
    void expectEra(StoreEra era, TimePoint now)
    {
        expectVersion({era, 0}, now);
    }
    // The highest version that the store or a peer is known to have, unless the view has reached it; 0 if there is none.
    StoreVersion expectedVersion() const
    {
        return freshness_.expectedVersion() > view_.at() ? freshness_.expectedVersion() : StoreVersion();
    }
    // The store can be reached again, by what a peer says: retries at once what has failed.
    void retryNow();
    // The process was suspended: treats the lease and the view as unconfirmed until the store or a peer responds again.
    void invalidate();

private:
    // The store has stated a higher era. What it had acknowledged before may be lost: the lease, and what this instance has written.
    void beginEra(StoreEra before, StoreEra now);
    void endLease();
    // For how long registration is put off when all instances have lost their leases; coordinators come first.
    Duration registrationDelay();
    Task<void> watch();
    Task<bool> load();
    // Applies the changes that a watch has reported.
    Task<void> applyChanges(Platform::StoreChanges changes, TimePoint sentAt);
    // Asks the store for its version while this instance watches it.
    Task<void> checkPosition();
    Task<void> superviseWatch();
    // Cancels the watch if it is stale.
    void checkWatch(TimePoint now);
    Task<void> follow();
    bool mayFollow(TimePoint now) const;
    Task<void> maintainLease();
    Task<bool> registerMember();
    void recordContact(TimePoint now);
    // `sentAt` is when the call that failed was made.
    void recordFailure(const char *call, Platform::StoreOutcome outcome, TimePoint sentAt, TimePoint now);
    Duration backoff(std::uint32_t failures);
    // Waits for a retry; ends early when the store can be reached again.
    Task<void> awaitRetry(Duration duration);

    asio::io_context &loop_;
    Platform::PlatformStore &store_;
    StoreView &view_;
    MemberEntry self_;
    EventLog &log_;
    Handlers handlers_;
    std::mt19937_64 random_;
    bool isLoaded_ = false;
    bool isRelayed_ = false;
    bool isBrought_ = false;
    bool isFollowing_ = false;
    TimePoint relayedAt_;
    // Null unless a watch is in progress.
    std::shared_ptr<ExchangeHandle> watchHandle_;
    bool isWatchStale_ = false;
    TimePoint watchSentAt_;
    ViewFreshness freshness_;
    bool isWatchFailing_ = true;
    bool isReachable_ = false;
    // The waits for retries in progress.
    std::set<std::shared_ptr<asio::steady_timer>> retryTimers_;
    bool isStopping_ = false;
    bool isRegistered_ = false;
    TimePoint contactAt_;
    TimePoint failingSince_;
    TimePoint registersFrom_;
    StoreLeaseId lease_;
    TimePoint leaseValidUntil_;
    TimePoint renewedAt_;
    TimePoint readAt_;
    TimePoint claimsWithheldUntil_;
};

} // namespace Goldcrestwall::Gateway
