// Routing state that the control plane publishes to the data plane.
#pragma once

#include <LibCoordination/LibCoordination.h>

#include <atomic>
#include <memory>
#include <shared_mutex>

namespace Goldcrestwall {

// The current routing table and the expiry of the lease. Written by the control plane, read by every request. Thread-safe.
class RoutingView
{
public:
    std::shared_ptr<const RoutingTable> table() const
    {
        const std::shared_lock lock(mutex_);
        return table_;
    }
    TimePoint leaseExpiry() const
    {
        return TimePoint(Duration(leaseExpiry_.load(std::memory_order_acquire)));
    }

    void setTable(std::shared_ptr<const RoutingTable> table)
    {
        const std::unique_lock lock(mutex_);
        table_ = std::move(table);
    }
    void setLeaseExpiry(TimePoint expiry)
    {
        leaseExpiry_.store(expiry.time_since_epoch().count(), std::memory_order_release);
    }

private:
    mutable std::shared_mutex mutex_;
    std::shared_ptr<const RoutingTable> table_;
    std::atomic<Duration::rep> leaseExpiry_ = 0;
};

} // namespace Goldcrestwall
