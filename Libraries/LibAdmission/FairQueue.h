// Bounded queue that serves customers in proportion to their shares and prefers interactive requests within a customer.
#pragma once

#include <LibBase/LibBase.h>
#include <LibConfiguration/LibConfiguration.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Goldcrestwall {

// Identifies an admitted request at its dispatcher.
using Ticket = std::uint64_t;

// A waiting request.
struct QueuedRequest
{
    Ticket ticket_ = 0;
    CustomerId customer_;
    double share_ = 1;
    Priority priority_ = Priority::Interactive;
    TimePoint enqueuedAt_;
    // The request is dropped as expired if it still waits at this time.
    TimePoint expiresAt_;

    auto operator<=>(const QueuedRequest &) const = default;
};

// Start-time fair queueing over customers, with every request at equal cost. Within a customer, interactive requests go first unless
// an export would otherwise miss its deadline.
class FairQueue
{
public:
    explicit FairQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    std::size_t size() const
    {
        return size_;
    }
    bool isFull() const
    {
        return size_ >= capacity_;
    }
    void setCapacity(std::size_t capacity)
    {
        capacity_ = capacity;
    }

    // Adds a request; the queue must not be full.
    void push(QueuedRequest request);

    // Makes room for a request of `customer` in a full queue: removes and returns the newest request of the customer that holds the
    // most in relation to its share. Returns nothing if `customer` itself would hold at least as much.
    std::optional<QueuedRequest> evictFor(const CustomerId &customer, double share);

    // Removes and returns the next request to serve. An export counts as urgent by its remaining time and `serviceTime`, the
    // smoothed execution time of one request.
    std::optional<QueuedRequest> pop(TimePoint now, Duration serviceTime);

    // Removes and returns the requests whose `expiresAt_` has passed.
    std::vector<QueuedRequest> takeExpired(TimePoint now);

    // Removes a cancelled request; returns whether it was queued.
    bool remove(Ticket ticket);

private:
    struct CustomerQueue
    {
        double share_ = 1;
        // Number of requests served, divided by the share.
        double virtualTime_ = 0;
        std::deque<QueuedRequest> interactive_;
        std::deque<QueuedRequest> exports_;

        std::size_t size() const
        {
            return interactive_.size() + exports_.size();
        }
    };

    std::size_t capacity_;
    std::size_t size_ = 0;
    double virtualTime_ = 0;
    std::map<CustomerId, CustomerQueue> customers_;
};

} // namespace Goldcrestwall
