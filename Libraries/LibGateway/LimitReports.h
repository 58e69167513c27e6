// Which coordinators this instance has told of the limits that servers name.
#pragma once

#include <LibGateway/PeerLink.h>

#include <LibTopology/LibTopology.h>

#include <map>
#include <memory>

namespace Goldcrestwall::Gateway {

// Remembers, for each limited server, which coordinator was told last and from which request on it knew of the limit.
//
// Messages on one connection keep their order, so a coordinator that was told before it got a request has decided with that knowledge.
class LimitReports
{
public:
    // The coordinator was told of the limit before it gets any request from `nextNumber` on.
    void record(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t nextNumber, TimePoint now);
    // Whether the coordinator was told after the limit was last named.
    bool isTold(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, TimePoint namedAt) const;
    // Whether the coordinator was told before it got the request with that number.
    bool wasToldBefore(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t number) const;
    void forget(const ServerIncarnation &server);

private:
    struct Report
    {
        std::weak_ptr<PeerLink> link_;
        std::uint64_t nextNumber_ = 0;
        TimePoint toldAt_;
    };

    std::map<ServerIncarnation, Report> reports_;
};

} // namespace Goldcrestwall::Gateway
