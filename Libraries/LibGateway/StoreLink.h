// Keeps the view of the store up to date and this instance registered there.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/StoreView.h>

#include <random>

namespace Goldcrestwall::Gateway {

// Watches the store, renews this instance's lease and writes its member entry.
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
    Task<void> leave();

    // Whether the store answered within the span that makes the view current.
    bool isCurrent(TimePoint now) const;
    // Whether this instance's lease certainly stands.
    bool isLeaseValid(TimePoint now) const;
    Platform::LeaseId lease() const
    {
        return lease_;
    }
    // Others know of this revision: a watch that does not report it soon has missed something.
    void expectRevision(Platform::Revision revision, TimePoint now);
    // The process stood still: what was believed before needs a new answer.
    void distrust();

private:
    Task<void> watch();
    Task<bool> load();
    Task<void> holdLease();
    Task<bool> registerMember();
    void noteContact(TimePoint now);
    void noteFailure(const char *call, Platform::StoreOutcome outcome, TimePoint now);
    Duration backoff(std::uint32_t failures);

    asio::io_context &loop_;
    Platform::PlatformStore &store_;
    StoreView &view_;
    MemberEntry self_;
    EventLog &log_;
    Handlers handlers_;
    std::mt19937_64 random_;
    bool isLoaded_ = false;
    std::shared_ptr<ExchangeHandle> watchHandle_;
    bool isWatchOutdated_ = false;
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
