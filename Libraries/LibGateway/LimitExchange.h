// Exchanges with other instances which limits the servers name.
#pragma once

#include <LibGateway/PlacementResult.h>
#include <LibGateway/StoreView.h>

#include <map>
#include <memory>

namespace Goldcrestwall::Gateway {

// Tells coordinators of the limits that this instance knows, takes in what others report, and decides whether whoever chose a server knew
// its limit.
//
// Messages on one connection keep their order, so a coordinator that was told of a limit before it got a request has decided with that
// knowledge. It is told before it gets the next request for the service, whether it has just started or has only now become coordinator.
class LimitExchange
{
public:
    LimitExchange(const StoreView &view, std::shared_ptr<ServerNotices> notices)
        : view_(view)
        , notices_(std::move(notices))
    {
    }

    // Tells a coordinator of the limits of the service's servers that it may not know, before it gets the request with that number.
    void tell(const std::string &service, const std::shared_ptr<PeerLink> &link, std::uint64_t number, TimePoint now);
    // The coordinator is told of the server's limit in another message, before it gets any request from `nextNumber` on.
    void recordTold(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t nextNumber, TimePoint now);
    // Records the limit that a server has or has not named in the response to a request of another instance. `placed` is this coordinator's
    // placement of that request, if there is one.
    void recordReported(const FinishMessage &message, const std::optional<PlacedRequest> &placed, TimePoint now);
    // Whether a request sent for this placement could exceed a limit that this instance knows of: whoever chose the server has not counted
    // the request and did not know the limit.
    bool mayBeExceeded(const PlacementResult &place, TimePoint now);

private:
    // Which coordinator was told last of a limit, and from which request on it knew.
    struct Report
    {
        std::weak_ptr<PeerLink> link_;
        std::uint64_t nextNumber_ = 0;
        TimePoint toldAt_;
    };

    bool isTold(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, TimePoint namedAt) const;
    bool wasToldBefore(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t number) const;

    const StoreView &view_;
    std::shared_ptr<ServerNotices> notices_;
    std::map<ServerIncarnation, Report> reports_;
};

} // namespace Goldcrestwall::Gateway
