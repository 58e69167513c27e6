// Where a request may be sent, or why nowhere.
#pragma once

#include <LibGateway/PeerLink.h>

#include <memory>
#include <string>

namespace Goldcrestwall::Gateway {

// Which instance decided on a placement.
enum class PlacementSource {
    // This instance, as the coordinator of the service.
    Coordinator,
    RemoteCoordinator,
    // This instance from its own view, because no coordinator responded.
    Local,
};

const char *placementSourceName(PlacementSource source);

// Who is to decide on a placement.
enum class PlacementDecider {
    // The coordinator of the service, or this instance while the coordinator does not respond.
    Coordinator,
    // This instance, although there may be a coordinator.
    Self,
};

// A placement at a server, or the reason for the rejection.
struct PlacementResult
{
    bool isPlaced_ = false;
    std::uint64_t number_ = 0;
    std::string server_;
    std::string address_;
    // Which run of the server is meant.
    UnixMilliseconds startTime_ = 0;
    // The version of the view by which the server was chosen.
    StoreVersion version_;
    LimitKnowledge limit_ = LimitKnowledge::None;
    // The connection to the coordinator that chose the server, if that is another instance.
    std::weak_ptr<PeerLink> coordinator_;
    // The server whose limit is the reason for the rejection.
    std::string limitedServer_;
    RejectReason reason_ = RejectReason::NoServer;
    Duration retryAfter_ = Duration::zero();
    PlacementSource source_ = PlacementSource::Local;
    Duration waited_ = Duration::zero();

    ServerIncarnation server() const
    {
        return {server_, startTime_};
    }
};

} // namespace Goldcrestwall::Gateway
