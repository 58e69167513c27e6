// The dispatcher role for one backend server.
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

// Who made the identifier of a request.
enum class IdOrigin : std::uint8_t {
    // The caller, who may repeat the request with it.
    Caller,
    // The entry, for this one request; nobody else knows it.
    Entry,
};

// What a dispatcher needs to know of a request to decide on it.
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

// The rights of the instance at the moment of a decision.
struct DispatchRights
{
    DispatchRight right_ = DispatchRight::NotDispatcher;
    TimePoint leaseExpiry_;

    bool operator==(const DispatchRights &) const = default;
};

// The dispatcher's first decision.
struct DispatchDecision
{
    enum class Kind {
        Run,
        Queued,
        Refused,
    };

    Kind kind_ = Kind::Refused;
    Ticket ticket_ = 0;
    Verdict verdict_;

    bool operator==(const DispatchDecision &) const = default;
};

// Permission to write one request to the server now.
struct WritePermission
{
    FencingToken token_ = 0;
    // The boot of the server that the limits were learned for; empty if none is known. A connection to another boot is not used.
    std::string bootId_;
    // When the server must have finished; also bounded by the service's longest execution.
    TimePoint executionDeadline_;

    bool operator==(const WritePermission &) const = default;
};

// How an attempt at the server ended.
enum class AttemptResult {
    // A complete answer arrived.
    Answered,
    // The server answered that it failed while running the request.
    Failed,
    // The server refused before running: too much work.
    Shed,
    // The server refused before running: it accepted a higher token.
    StaleToken,
    // The server refused before running: it drains.
    Draining,
    // The server refused before running: the deadline had passed.
    Late,
    // The request was not written: no connection.
    NotWritten,
    // Written, but no complete answer came.
    Lost,
    // Part of the answer came, so the server ran it.
    Truncated,
    // The server confirmed that it cancelled the request before running it.
    Cancelled,
};

// The verdict on an attempt that was not answered.
Verdict verdictOf(AttemptResult result);

// What a tenure of the previous dispatcher knew of a range, handed to the next one along with the range.
struct RangeHistory
{
    KeyRange range_;
    UnixMilliseconds knownSince_ = 0;
    std::vector<RequestId> requests_;

    bool operator==(const RangeHistory &) const = default;
    MSGPACK_DEFINE(range_, knownSince_, requests_)
};

// What the previous dispatcher knew of a server that it handed over drained.
struct ServerHandoverState
{
    // The boot of the server; empty if nothing was handed over.
    std::string bootId_;
    std::uint32_t limit_ = 0;
    std::uint32_t successes_ = 0;

    bool operator==(const ServerHandoverState &) const = default;
    MSGPACK_DEFINE(bootId_, limit_, successes_)
};

// Holds the gate, the health, the memory of requests and the load of one server during this instance's tenure as its dispatcher.
class ServerDispatcher
{
public:
    ServerDispatcher(ServerKey server, const ServiceConfiguration &service, const ServerConfiguration &configuration, Now now);

    // Follows the configuration and the ownership record. A new fencing token begins a new tenure.
    void update(const ServiceConfiguration &service, const ServerConfiguration &configuration, const ServiceRecord &record, Now now);

    // Decides on a request. A refused request has certainly not run.
    DispatchDecision offer(const DispatchRequest &request, const DispatchRights &rights, Now now);

    // The last check before the request is written. If it fails, the request is over and has not run.
    Result<WritePermission> beginWrite(Ticket ticket, const DispatchRights &rights, Now now);

    // Ends an attempt that was written or could not be written.
    void finish(Ticket ticket, AttemptResult result, const ServerContact &contact, Now now);

    // Withdraws a request that waits; returns whether it waited.
    bool withdraw(Ticket ticket);

    // Starts waiting requests and drops expired ones.
    GateEvents takeEvents(Now now);

    // Withdraws the waiting requests for which `isMisdirected(request)` holds, for example because their range has moved away.
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

    // Whether the server has to be told this tenure's token before any work.
    bool needsGrant() const;
    FencingToken token() const
    {
        return token_;
    }
    // The server accepted the token and tells how many requests it runs.
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

    // Whether what the server owns has to move away.
    bool isLost() const
    {
        return health_.isLost() || health_.isDraining();
    }
    bool isDrained(const std::optional<KeyRange> &range, TimePoint now) const
    {
        return gate_.isDrained(range, now);
    }

    // The history of a range, for the next dispatcher of what becomes of it.
    RangeHistory historyOf(const RangeTransfer &range) const;
    // What the next dispatcher of the whole server should know; to be asked once the server is drained.
    ServerHandoverState handoverState() const
    {
        return {health_.bootId(), gate_.coldStart().limit(), gate_.coldStart().successes()};
    }
    // Continues the tenure of a dispatcher that has handed the server over drained.
    void restoreHandoverState(const ServerHandoverState &handoverState);

    // Accepts the history of a range that has just come to this dispatcher.
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
    // The version since which each range is owned by this server.
    std::map<KeyRange, Version> rangeVersions_;
    std::map<Ticket, Attempt> attempts_;
};

// The limits of a server's gate as configured.
GateLimits limitsOf(const ServiceConfiguration &service, const ServerConfiguration &server);

} // namespace Goldcrestwall
