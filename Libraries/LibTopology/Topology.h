// Routing configuration and descriptions of backend servers, as immutable values.
#pragma once

#include <LibBase/LibBase.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Kind of a route's requests, which decides whether they may be executed more than once.
enum class RequestKind : std::uint8_t {
    // May be executed more than once.
    Idempotent,
    // Must be executed at most once.
    NonIdempotent,
    // Idempotent, with a large response.
    Download,
};

// Whether requests of this kind may be sent again after an attempt that may have been executed.
constexpr bool mayRunAgain(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
    case RequestKind::Download:
        return true;
    case RequestKind::NonIdempotent:
        return false;
    }
    return false;
}

// A service of a route and its weight.
struct WeightedService
{
    std::string service_;
    // Share of the requests, relative to the other services of the route.
    std::uint32_t weight_ = 1;

    auto operator<=>(const WeightedService &) const = default;
};

// Services and limits for the requests of one host and path prefix.
struct Route
{
    std::string name_;
    std::string host_;
    // Starts and ends with a slash.
    std::string prefix_;
    RequestKind kind_ = RequestKind::NonIdempotent;
    // Maximum time until the caller gets a response.
    Duration timeout_ = 1s;
    // Latency objective: requests should complete within this time.
    Duration latencyObjective_ = 1s;
    // 0 is the most urgent.
    std::uint32_t priority_ = 0;
    // Maximum number of backend servers to which one request may be sent.
    std::uint32_t maxAttempts_ = 1;
    // Contains at least one service.
    std::vector<WeightedService> services_;

    auto operator<=>(const Route &) const = default;
};

// Settings of one service.
struct Service
{
    std::string name_;
    std::string healthPath_;
    // Maximum number of connections that one backend server accepts, over all instances.
    std::uint32_t maxConnections_ = 1;
    // Time for which a backend server is cold after its start.
    Duration warmup_ = Duration::zero();
    // Requests per second that a cold backend server can serve.
    double warmupRate_ = 1;
    // Whether each key is served only by the backend server that holds it.
    bool isSharded_ = false;

    auto operator<=>(const Service &) const = default;
};

// Limits on the requests of callers.
struct RequestLimits
{
    std::uint32_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 1U << 20U;
    Duration headerTimeout_ = 3s;
    Duration idleTimeout_ = 15s;

    auto operator<=>(const RequestLimits &) const = default;
};

// One version of the routing configuration set by the operator.
struct RoutingConfiguration
{
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<Service> services_;
    RequestLimits limits_;

    auto operator<=>(const RoutingConfiguration &) const = default;

    // Returns the service with that name, or null.
    const Service *service(const std::string &name) const;
    // Returns the route of the host with the longest matching path prefix, or null.
    const Route *route(const std::string &host, const std::string &path) const;
};

// Whether a backend server accepts new requests.
enum class ServerState {
    Ready,
    Draining,
};

// One run of a backend server's process: a server may start again under the same id.
struct ServerIncarnation
{
    std::string id_;
    // Start of the process in Unix milliseconds.
    UnixMilliseconds startTime_ = 0;

    auto operator<=>(const ServerIncarnation &) const = default;
};

// Description that a backend server publishes of itself.
struct ServerDescription
{
    std::string id_;
    std::string service_;
    // IP address and port.
    std::string address_;
    std::string domain_;
    std::uint32_t slots_ = 1;
    ServerState state_ = ServerState::Ready;
    // Remaining warm-up time at the time of the description.
    Duration warmupLeft_ = Duration::zero();
    // Start of the process in Unix milliseconds; distinguishes a restarted server with the same id.
    UnixMilliseconds startTime_ = 0;
    // Grows with each description of one process; 0 if the description has none.
    std::uint64_t sequence_ = 0;

    auto operator<=>(const ServerDescription &) const = default;

    ServerIncarnation incarnation() const
    {
        return {id_, startTime_};
    }
};

} // namespace Goldcrestwall::Gateway
