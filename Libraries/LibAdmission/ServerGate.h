// Admission control for one backend server. Only the server's dispatcher has a gate, so its limits hold for the whole deployment.
#pragma once

#include <LibAdmission/ColdStartLimiter.h>
#include <LibAdmission/FairQueue.h>
#include <LibAssignment/LibAssignment.h>

#include <map>
#include <optional>
#include <vector>

namespace Goldcrestwall {

// Admission limits of one server.
struct GateLimits
{
    ColdStartSettings coldStart_;
    std::size_t queueLength_ = 64;
    Duration queueTime_ = 2s;
    // Maximum execution time of a request. A request whose outcome is unknown holds its slot for this long.
    Duration maxExecution_ = 1s;

    auto operator<=>(const GateLimits &) const = default;
};

// A request offered to the gate.
struct GateRequest
{
    CustomerId customer_;
    double share_ = 1;
    Priority priority_ = Priority::Interactive;
    // The range that the server must own to run the request; empty for shared services.
    std::optional<KeyRange> range_;
    TimePoint deadline_;

    auto operator<=>(const GateRequest &) const = default;
};

// Result of offering a request to the gate.
struct GateDecision
{
    enum class Kind {
        Run,
        Queued,
        Rejected,
    };

    Kind kind_ = Kind::Rejected;
    Ticket ticket_ = 0;
    RouterError error_ = RouterError::QueueFull;

    bool operator==(const GateDecision &) const = default;
};

// State changes of queued requests since the last call of takeEvents().
struct GateEvents
{
    std::vector<Ticket> ready_;
    std::vector<Ticket> expired_;
    std::vector<Ticket> evicted_;

    bool operator==(const GateEvents &) const = default;
};

// How a running request ended, as far as its slot is concerned.
enum class SlotOutcome {
    // Succeeded.
    Succeeded,
    // Failed, and certainly no longer runs.
    Ended,
    // Rejected by the server for lack of capacity.
    Shed,
    // May still be running.
    Unresolved,
};

// Limits the number of running requests to the cold-start limit and queues the others.
class ServerGate
{
public:
    ServerGate(GateLimits limits, TimePoint now);

    // Applies changed limits; running requests are not affected.
    void setLimits(const GateLimits &limits, TimePoint now);

    GateDecision offer(const GateRequest &request, TimePoint now);

    // Ends a running request; returns whether it was running.
    bool finish(Ticket ticket, SlotOutcome outcome, TimePoint now);

    // Removes a queued request; returns whether it was queued.
    bool withdraw(Ticket ticket);

    // Starts queued requests while slots are free, and returns those started, expired or evicted.
    GateEvents takeEvents(TimePoint now);

    // Assumes that requests unknown to this gate run at the server until `until`, and treats the server as cold.
    void assumeUnknownWork(TimePoint now, TimePoint until);
    // The server has confirmed that it runs no request unknown to this gate.
    void clearUnknownWork()
    {
        unknownWorkUntil_ = {};
    }

    ColdStartLimiter &coldStart()
    {
        return coldStart_;
    }
    const ColdStartLimiter &coldStart() const
    {
        return coldStart_;
    }

    // Number of requests that run or may still run.
    std::size_t runningCount() const
    {
        return running_.size();
    }
    std::size_t queueLength() const
    {
        return queue_.size();
    }
    // Whether no request of a range, or of any range if empty, runs or may still run. Queued requests do not count.
    bool isDrained(const std::optional<KeyRange> &range, TimePoint now) const;

    // Smoothed execution time of one request.
    Duration serviceTime() const;

private:
    struct Running
    {
        std::optional<KeyRange> range_;
        TimePoint startedAt_;
        TimePoint executionDeadline_;
        bool isUnresolved_ = false;
    };
    struct Waiting
    {
        std::optional<KeyRange> range_;
        TimePoint deadline_;
    };

    void start(Ticket ticket, const std::optional<KeyRange> &range, TimePoint deadline, TimePoint now);
    void releaseExpired(TimePoint now);
    bool hasFreeSlot(TimePoint now) const;
    Duration expectedWait() const;

    GateLimits limits_;
    ColdStartLimiter coldStart_;
    FairQueue queue_;
    std::map<Ticket, Running> running_;
    std::map<Ticket, Waiting> waiting_;
    std::vector<Ticket> evicted_;
    Ticket lastTicket_ = 0;
    double serviceMicroseconds_ = 0;
    TimePoint unknownWorkUntil_;
};

} // namespace Goldcrestwall
