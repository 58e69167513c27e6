// Admits requests to one backend server. The server's dispatcher has the only gate, so its counts hold for the whole deployment.
#pragma once

#include <LibAdmission/ColdStartLimiter.h>
#include <LibAdmission/FairQueue.h>
#include <LibAssignment/LibAssignment.h>

#include <map>
#include <optional>
#include <vector>

namespace Goldcrestwall {

// The limits of one server.
struct GateLimits
{
    ColdStartSettings coldStart_;
    std::size_t queueLength_ = 64;
    Duration queueTime_ = 2s;
    // The longest a request may execute. A request whose fate is unknown holds its slot for this long.
    Duration maxExecution_ = 1s;

    auto operator<=>(const GateLimits &) const = default;
};

// A request that asks for admission.
struct GateRequest
{
    CustomerId customer_;
    double share_ = 1;
    Priority priority_ = Priority::Interactive;
    // The range whose ownership the request relies on; empty for shared services.
    std::optional<KeyRange> range_;
    TimePoint deadline_;

    auto operator<=>(const GateRequest &) const = default;
};

// The gate's first decision.
struct GateDecision
{
    enum class Kind {
        Run,
        Queued,
        Refused,
    };

    Kind kind_ = Kind::Refused;
    Ticket ticket_ = 0;
    RouterError error_ = RouterError::QueueFull;

    bool operator==(const GateDecision &) const = default;
};

// What became of queued requests.
struct GateEvents
{
    std::vector<Ticket> ready_;
    std::vector<Ticket> expired_;
    std::vector<Ticket> evicted_;

    bool operator==(const GateEvents &) const = default;
};

// How a request that was running ended, as far as its slot is concerned.
enum class SlotOutcome {
    // It succeeded.
    Succeeded,
    // It ended otherwise, and certainly does not run any more.
    Ended,
    // The server refused it for lack of capacity.
    Shed,
    // It may still be running.
    Unresolved,
};

// Counts running requests against slots and the cold-start limit, and queues the rest.
class ServerGate
{
public:
    ServerGate(GateLimits limits, TimePoint now);

    // Adopts changed limits; requests that run are not affected.
    void setLimits(const GateLimits &limits, TimePoint now);

    GateDecision offer(const GateRequest &request, TimePoint now);

    // Ends a running request and returns whether it was running.
    bool finish(Ticket ticket, SlotOutcome outcome, TimePoint now);

    // Withdraws a waiting request; returns whether it was waiting.
    bool withdraw(Ticket ticket);

    // Starts waiting requests where slots are free and reports those that have waited too long.
    GateEvents takeEvents(TimePoint now);

    // Assumes that work this gate does not know of runs at the server until `until`, and treats the server as cold.
    void assumeUnknownWork(TimePoint now, TimePoint until);
    // The server has confirmed that it runs nothing this gate does not know of.
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

    // Requests that run or may still run.
    std::size_t runningCount() const
    {
        return running_.size();
    }
    std::size_t queueLength() const
    {
        return queue_.size();
    }
    // Whether nothing of a range, or nothing at all, runs or may still run. Waiting requests do not count: they have not begun.
    bool isDrained(const std::optional<KeyRange> &range, TimePoint now) const;

    // Smoothed time one request takes.
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
