// Requests for a place at a backend server, and what becomes of them.
#pragma once

#include <LibPlacement/ShardAssignment.h>
#include <LibPlacement/WorkEstimator.h>

#include <LibTopology/LibTopology.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Identifies a placement: the instance that holds the request and the number that this instance gave it.
struct PlacementId
{
    std::string instance_;
    std::uint64_t number_ = 0;

    auto operator<=>(const PlacementId &) const = default;
};

// Distinguishes first attempts from retries.
enum class AttemptKind : std::uint8_t {
    First,
    // The request has reached a server before and counts against the retry budget.
    Retry,
    // The request could not be sent to the server chosen before. Does not count against the retry budget.
    Replacement,
};

// A request that waits for a slot of a backend server.
struct PlacementRequest
{
    PlacementId id_;
    // Name of the route; requests of one route take about the same time.
    std::string workKind_;
    std::uint32_t priority_ = 0;
    TimePoint latencyObjectiveAt_;
    TimePoint deadline_;
    // Expected service time until requests of this kind have been measured.
    Duration assumedWork_ = 50ms;
    AttemptKind attempt_ = AttemptKind::First;
    // The caller retries after an earlier rejection.
    bool isCallerRetry_ = false;
    std::optional<ShardKey> key_;
    // Failure domain of the instance that holds the request.
    std::string domain_;
    // Servers that are used only if no other is available.
    std::vector<std::string> avoidedServers_;

    auto operator<=>(const PlacementRequest &) const = default;
};

// Reason for the rejection of a request.
enum class RejectReason : std::uint8_t {
    // No server of the service accepts requests.
    NoServer,
    // The request would not complete before its deadline.
    Overload,
    // The retry budget is exhausted.
    RetryBudget,
    // No server that accepts requests holds the key.
    NoOwner,
    // Every server that could run the request has asked the instance to send nothing for a while.
    HeldBack,
    // The only server that could run the request accepts no more requests per second.
    ServerLimit,
};

const char *rejectReasonName(RejectReason reason);

// What whoever places a request knows of a limit that the chosen server has named.
enum class LimitKnowledge : std::uint8_t {
    // Of no limit.
    None,
    // The placement was counted against the limit.
    Counted,
    // The server has named a limit and names it no more.
    Ended,
};

// Permission to send a request to a server now.
struct Placement
{
    PlacementId id_;
    std::string server_;
    LimitKnowledge limit_ = LimitKnowledge::None;

    auto operator<=>(const Placement &) const = default;
};

// Rejection of a request, which has not been executed.
struct Rejection
{
    PlacementId id_;
    RejectReason reason_ = RejectReason::NoServer;
    // Estimated time until a slot is free.
    Duration retryAfter_ = Duration::zero();
    // The server whose limit is the reason; empty for other reasons.
    std::string limitedServer_ = {};

    auto operator<=>(const Rejection &) const = default;
};

struct PlacementDecisions
{
    std::vector<Placement> placements_;
    std::vector<Rejection> rejections_;
};

// Result of a request at its backend server.
enum class PlacementOutcome : std::uint8_t {
    // The server sent a valid response.
    Answered,
    // The server shed the request although a slot should have been free.
    Shed,
    // The request could not be sent because there was no connection.
    Unreachable,
    // The request was sent, but no valid response arrived.
    Lost,
    // The deadline passed during execution: the service time is at least the reported duration.
    TimedOut,
    // The caller disconnected, or the server was not needed after all.
    Abandoned,
};

// A request that a server has been given.
struct PlacedRequest
{
    ServerIncarnation server_;
    TimePoint placedAt_;

    auto operator<=>(const PlacedRequest &) const = default;
};

// What the instance that held the placement observed.
struct PlacementReport
{
    PlacementOutcome outcome_ = PlacementOutcome::Abandoned;
    Duration duration_ = Duration::zero();
    std::optional<ReportedLoad> load_;
    // The server is leaving, as the instance knows from a response or from the store.
    bool isServerLeaving_ = false;
    // How long the server wants no requests from the instance; zero if it has not said so.
    Duration heldBackFor_ = Duration::zero();
    // The limit that the server has named, in requests per second, and how long ago it last did.
    std::optional<double> namedLimit_;
    Duration limitAge_ = Duration::zero();

    auto operator<=>(const PlacementReport &) const = default;
};

// Whether the request reached the server, as far as the instance knows.
bool wasSent(const PlacementReport &report);

} // namespace Goldcrestwall::Gateway
