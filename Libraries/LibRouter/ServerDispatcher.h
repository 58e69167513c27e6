// Decision logic of the dispatcher of one backend server.
#pragma once

#include <LibAdmission/LibAdmission.h>
#include <LibCoordination/LibCoordination.h>

#include <map>

namespace Goldcrestwall {

// Whether a request may run more than once without harm.
enum class Idempotence : std::uint8_t {
    Idempotent,
    NotIdempotent,
};

// Who created the identifier of a request.
enum class IdOrigin : std::uint8_t {
    // The caller, which may repeat the request with the same identifier.
    Caller,
    // The entry, for this request only; the caller does not know it.
    Entry,
};

// The parts of a request on which the dispatcher decides.
struct DispatchRequest
{
    CustomerId customer_;
    double share_ = 1;
    Priority priority_ = Priority::Interactive;
    // Empty for shared services.
    std::optional<KeyRange> range_;
    std::string key_;
    RequestId id_;
    IdOrigin idOrigin_ = IdOrigin::Entry;
    Idempotence idempotence_ = Idempotence::NotIdempotent;
    TimePoint deadline_;

    auto operator<=>(const DispatchRequest &) const = default;
};

// The instance's right to dispatch and the expiry of its lease at the time of a decision.
struct DispatchRights
{
    DispatchRight right_ = DispatchRight::NotDispatcher;
    TimePoint leaseExpiry_;

    bool operator==(const DispatchRights &) const = default;
};

// Result of offering a request to the dispatcher.
struct DispatchDecision
{
    enum class Kind {
        Run,
        Queued,
        Rejected,
    };

    Kind kind_ = Kind::Rejected;
    Ticket ticket_ = 0;
    Verdict verdict_;

    bool operator==(const DispatchDecision &) const = default;
};

// Permission to write one request to the server immediately.
struct WritePermission
{
    FencingToken token_ = 0;
    // Boot identifier of the server for which the limits were learned; empty if unknown. A connection to another boot is not used.
    std::string bootId_;
    // Deadline for the server, at most the maximum execution time of the service from now.
    TimePoint executionDeadline_;

    bool operator==(const WritePermission &) const = default;
};

// Result of one attempt at the server.
enum class AttemptResult {
    // A complete response arrived.
    Answered,
    // The server responded that the request failed while it ran.
    Failed,
    // Rejected before running: the server is overloaded.
    Shed,
    // Rejected before running: the server has accepted a higher fencing token.
    StaleToken,
    // Rejected before running: the server is draining.
    Draining,
    // Rejected before running: the deadline has passed.
    Late,
    // Not written, for lack of a usable connection.
    NotWritten,
    // Written, but no complete response arrived.
    Lost,
    // Part of the response arrived, so the server ran the request.
    Truncated,
    // The server confirmed that the request was cancelled before it ran.
    Cancelled,
};

// The verdict on an attempt without a usable response.
Verdict verdictOf(AttemptResult result);

// The request history of a range, transferred from its previous dispatcher to the next one.
struct RangeHistory
{
    KeyRange range_;
    UnixMilliseconds knownSince_ = 0;
    std::vector<RequestId> requests_;

    bool operator==(const RangeHistory &) const = default;
    MSGPACK_DEFINE(range_, knownSince_, requests_)
};

// State of a drained server that the previous dispatcher transfers at a handover.
struct ServerHandoverState
{
    // Boot identifier of the server; empty if no state was transferred.
    std::string bootId_;
    std::uint32_t limit_ = 0;
    std::uint32_t successes_ = 0;

    bool operator==(const ServerHandoverState &) const = default;
    MSGPACK_DEFINE(bootId_, limit_, successes_)
};

// Gate, health, request history and load of one server while this instance is its dispatcher.
class ServerDispatcher
{
public:
    ServerDispatcher(ServerKey server, const ServiceConfiguration &service, const ServerConfiguration &configuration, Now now);

    // Applies the configuration and the ownership record. With a new fencing token, the state learned under the previous one no longer
    // counts.
    void update(const ServiceConfiguration &service, const ServerConfiguration &configuration, const ServiceRecord &record, Now now);

    // Admits, queues or rejects a request.
    DispatchDecision offer(const DispatchRequest &request, const DispatchRights &rights, Now now);

    // Final check right before the request is written. If it fails, the request has ended without having run.
    Result<WritePermission> beginWrite(Ticket ticket, const DispatchRights &rights, Now now);

    // Ends an attempt for which beginWrite() succeeded.
    void finish(Ticket ticket, AttemptResult result, const ServerContact &contact, Now now);

    // Removes a queued request; returns whether it was queued.
    bool withdraw(Ticket ticket);

    // Starts queued requests while slots are free, and drops expired ones.
    GateEvents takeEvents(Now now);

    // Removes the queued requests for which the predicate holds, for example because their range has moved to another dispatcher.
    template<typename IsMisdirected>
    std::vector<Ticket> takeMisdirected(IsMisdirected isMisdirected)
    {
        std::vector<Ticket> misdirected;
        for (const auto &[ticket, attempt] : attempts_) {
            if (!attempt.isWritten_ && isMisdirected(attempt.request_)) {
                misdirected.push_back(ticket);
            }
        }
        std::erase_if(misdirected, [this](Ticket ticket) {
            return !withdraw(ticket);
        });
        return misdirected;
    }

    // Whether the server must be granted the present token before it gets any request.
    bool needsGrant() const;
    FencingToken token() const
    {
        return token_;
    }
    // The server accepted the token and reported `running` requests.
    void recordGrantAccepted(FencingToken token, std::uint32_t running, Now now);

    ServerHealth &health()
    {
        return health_;
    }
    const ServerHealth &health() const
    {
        return health_;
    }
    // A probe ended.
    void recordProbe(bool isAnswered, const ServerContact &contact, TimePoint startedAt, Now now);

    // Whether the ranges of the server must move to other servers.
    bool isLost() const
    {
        return health_.isLost() || health_.isDraining();
    }
    bool isDrained(const std::optional<KeyRange> &range, TimePoint now) const
    {
        return gate_.isDrained(range, now);
    }

    // The history of the source range, for the next dispatcher of the target range.
    RangeHistory historyOf(const RangeTransfer &range) const;
    // The state for the next dispatcher of this server; valid once the server is drained.
    ServerHandoverState handoverState() const
    {
        return {health_.bootId(), gate_.coldStart().limit(), gate_.coldStart().successes()};
    }
    // Restores the state transferred by the previous dispatcher, unless the server has restarted since.
    void restoreHandoverState(const ServerHandoverState &handoverState);

    // Adopts the history of a range that has just moved to this dispatcher.
    void inherit(const RangeHistory &history, Now now);

    ServerLoad load(Now now)
    {
        ServerLoad load = load_.report(server_.server_, now.monotonic_);
        load.serviceMicroseconds_ = static_cast<double>(gate_.serviceTime().count());
        return load;
    }
    const ServerGate &gate() const
    {
        return gate_;
    }
    const ServerKey &server() const
    {
        return server_;
    }

private:
    struct Attempt
    {
        DispatchRequest request_;
        TimePoint startedAt_;
        bool isWritten_ = false;
    };

    std::optional<Verdict> checkRights(const DispatchRights &rights, Now now) const;
    std::optional<Verdict> checkDuplicate(const DispatchRequest &request, Now now) const;
    void trackRanges(const ServiceRecord &record, Now now);
    void applyHealthChange(HealthChange change, Now now);
    void dropAttempt(Ticket ticket);

    ServerKey server_;
    GateLimits limits_;
    TokenChecking tokenChecking_;
    ServerGate gate_;
    ServerHealth health_;
    SeenRequests seen_;
    LoadMeter load_;
    FencingToken token_ = 0;
    FencingToken grantedToken_ = 0;
    // Record version since which this server has owned each range.
    std::map<KeyRange, Version> rangeVersions_;
    std::map<Ticket, Attempt> attempts_;
};

// The limits of a server's gate as configured.
GateLimits limitsOf(const ServiceConfiguration &service, const ServerConfiguration &server);

} // namespace Goldcrestwall
