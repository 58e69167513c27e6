// Keeps the view of the store up to date and this instance registered there.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/StoreView.h>

#include <random>

namespace Goldcrestwall::Gateway {

// Watches the store, renews this instance's lease and writes its member entry. While another instance of the failure domain watches
// and passes on what changes, this one does not: calls to the store do not grow with the number of instances then.
class StoreLink
{
public:
    struct Handlers
    {
        // The view has changed.
        std::function<void()> changed_;
        // The lease and all that was bound to it is gone.
        std::function<void()> leaseLost_;
    };

    StoreLink(asio::io_context &loop, Platform::PlatformStore &store, StoreView &view, MemberEntry self, EventLog &log, Handlers handlers);

    void start();
    // Ends the lease, so that the duties of this instance go to others at once.
    Task<void> unregister();

    // Whether the view is complete up to a moment ago, by the store's answers or by those to other instances.
    bool isCurrent(TimePoint now) const;
    // Until when the view was surely complete.
    TimePoint confirmedAt() const
    {
        return isFollowing_ ? relayedAt_ : contactAt_;
    }
    // Whether this instance watches the store itself.
    bool isWatching() const
    {
        return isLoaded_ && !isFollowing_;
    }
    // Whether another instance is there that watches the store and passes on what changes.
    void setRelayed(bool isRelayed)
    {
        isRelayed_ = isRelayed;
    }
    // Another instance's view, which this one has, was complete at that time.
    void recordRelayed(TimePoint confirmedAt);
    // Whether this instance's lease certainly stands.
    bool isLeaseValid(TimePoint now) const;
    Platform::LeaseId lease() const
    {
        return lease_;
    }
    // Others know of this revision: a watch that does not report it soon has missed something.
    void expectRevision(Platform::Revision revision, TimePoint now);
    // The process stood still: what was believed before needs a new answer.
    void invalidate();

private:
    Task<void> watch();
    Task<bool> load();
    Task<void> follow();
    bool mayFollow(TimePoint now) const;
    Task<void> maintainLease();
    Task<bool> registerMember();
    void recordContact(TimePoint now);
    void recordFailure(const char *call, Platform::StoreOutcome outcome, TimePoint now);
    Duration backoff(std::uint32_t failures);

    asio::io_context &loop_;
    Platform::PlatformStore &store_;
    StoreView &view_;
    MemberEntry self_;
    EventLog &log_;
    Handlers handlers_;
    std::mt19937_64 random_;
    bool isLoaded_ = false;
    bool isRelayed_ = false;
    bool isFollowing_ = false;
    TimePoint relayedAt_;
    std::shared_ptr<ExchangeHandle> watchHandle_;
    bool isWatchStale_ = false;
    Platform::Revision expectedRevision_ = 0;
    TimePoint expectedSince_;
    bool isWatchFailing_ = true;
    bool isReachable_ = false;
    bool isStopping_ = false;
    bool isRegistered_ = false;
    TimePoint contactAt_;
    TimePoint failingSince_;
    Platform::LeaseId lease_ = 0;
    TimePoint leaseValidUntil_;
};

} // namespace Goldcrestwall::Gateway
