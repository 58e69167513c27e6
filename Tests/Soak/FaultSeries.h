// Series of faults and changes for a deployment, drawn from a seed.
#pragma once

#include <StandIns/LoopbackProxy.h>
#include <StandIns/PlatformStoreStandIn.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Soak {

enum class FaultKind {
    // Faults and signals of an instance's process. A stop is planned: SIGTERM, the time for draining, and a new start.
    PauseInstance,
    KillInstance,
    StopInstance,
    ReloadSettings,
    // Faults of the connections between an instance and the store, or between the instances and a server.
    StoreLink,
    ServerLink,
    // Faults of the store and of a server.
    Store,
    RestartServer,
    DrainServer,
    RemoveServerEntry,
    SilenceServer,
    // Changes by the operator.
    ChangeRoute,
    EvacuateDomain,
};

enum class LinkFault {
    // Nothing passes any more on the connections that are open; new ones work.
    Silent,
    // All bytes wait until the fault ends.
    Held,
    Delayed,
    Reset,
    // Open connections are reset, and so are new ones until the fault ends.
    Refusing,
};

// The service that a changing route leads to.
enum class RouteState {
    Absent,
    Plain,
    Sharded,
};

// Number of the routes that change during a series, and of the servers: the plain ones first, then the sharded ones.
constexpr std::size_t RouteCount = 6;
constexpr std::size_t ServerCount = 8;
constexpr std::size_t DomainCount = 2;

// A fault with its start, counted from the start of the series, and its length.
struct FaultAction
{
    Duration at_ = Duration::zero();
    Duration length_ = Duration::zero();
    FaultKind kind_ = FaultKind::PauseInstance;
    // Index of the instance, server, route or domain. Nothing means the coordinator of the sharded service for faults of a process, and
    // all instances for a store link.
    std::optional<std::size_t> target_ = {};
    LinkFault link_ = LinkFault::Silent;
    ProxyDirection direction_ = ProxyDirection::Both;
    Duration delay_ = Duration::zero();
    PlatformStoreFault storeFault_ = PlatformStoreFault::None;
    RouteState routeState_ = RouteState::Absent;

    auto operator<=>(const FaultAction &) const = default;
};

// Returns the faults of a series in the order of their starts; all have ended after `length`. They come in groups and overlap, but no
// instance, server or connection has two faults of a kind at once.
std::vector<FaultAction> drawFaultSeries(std::uint64_t seed, std::size_t instances, Duration length);

// The name of the server with this index.
std::string nameOfServer(std::size_t index);
std::string formatSeconds(Duration time);
// Describes a fault in one line.
std::string describe(const FaultAction &action);

} // namespace Goldcrestwall::Soak
