// What the operator and the backend servers say of a deployment, as immutable values.
#pragma once

#include <LibBase/LibBase.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// What a route's requests are, which decides how often they may run.
enum class RequestKind : std::uint8_t {
    // May run more than once.
    Idempotent,
    // Runs at most once.
    NonIdempotent,
    // Idempotent, with a large answer.
    Download,
};

// Whether requests of this kind may be sent again after one that may have run.
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

// One of the services that a route sends its requests to.
struct WeightedService
{
    std::string service_;
    // Its share of the requests, relative to the other services of the route.
    std::uint32_t weight_ = 1;

    auto operator<=>(const WeightedService &) const = default;
};

// Where requests of one host and path prefix go, and on which terms.
struct Route
{
    std::string name_;
    std::string host_;
    // Begins and ends with a slash.
    std::string prefix_;
    RequestKind kind_ = RequestKind::NonIdempotent;
    // The longest time for which a caller may be kept waiting.
    Duration timeout_ = 1s;
    // The latency objective.
    Duration latencyObjective_ = 1s;
    // 0 is the most urgent.
    std::uint32_t priority_ = 0;
    // To how many backend servers one request may be sent.
    std::uint32_t maxAttempts_ = 1;
    // At least one.
    std::vector<WeightedService> services_;

    auto operator<=>(const Route &) const = default;
};

// The terms of one service.
struct Service
{
    std::string name_;
    std::string healthPath_;
    // Connections that one backend server accepts from all instances together.
    std::uint32_t maxConnections_ = 1;
    // How long a backend server is cold after its start.
    Duration warmup_ = Duration::zero();
    // Requests a second that a cold backend server bears.
    double warmupRate_ = 1;
    // Whether a key is served by the one server that holds it.
    bool isSharded_ = false;

    auto operator<=>(const Service &) const = default;
};

// Bounds on what a caller may send.
struct RequestLimits
{
    std::uint32_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 1U << 20U;
    Duration headerTimeout_ = 3s;
    Duration idleTimeout_ = 15s;

    auto operator<=>(const RequestLimits &) const = default;
};

// One version of the operator's configuration.
struct RoutingConfiguration
{
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<Service> services_;
    RequestLimits limits_;

    auto operator<=>(const RoutingConfiguration &) const = default;

    // The service of that name, or nothing.
    const Service *service(const std::string &name) const;
    // The route with the longest prefix that begins the path, or nothing.
    const Route *route(const std::string &host, const std::string &path) const;
};

// Whether a backend server takes new work.
enum class ServerState {
    Ready,
    Draining,
};

// What a backend server says of itself.
struct ServerDescription
{
    std::string id_;
    std::string service_;
    // IP number and port.
    std::string address_;
    std::string domain_;
    std::uint32_t slots_ = 1;
    ServerState state_ = ServerState::Ready;
    // How much longer it is cold, from the moment at which it said so.
    Duration warmupLeft_ = Duration::zero();
    // Tells two lives of one id apart: the Unix millisecond of its start.
    UnixMilliseconds startTime_ = 0;

    auto operator<=>(const ServerDescription &) const = default;
};

} // namespace Goldcrestwall::Gateway
