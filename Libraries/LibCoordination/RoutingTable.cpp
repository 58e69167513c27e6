// Implements the routing snapshot for the data plane.
#include <LibCoordination/Coordinator.h>

namespace Goldcrestwall {

RoutingTable::RoutingTable(Incarnation self, const RecordCatalog &catalog, ClosedSet closed, bool isComplete)
    : self_(std::move(self))
    , cluster_(catalog.cluster())
    , customers_(catalog.configurations())
    , closed_(std::move(closed))
    , isComplete_(isComplete)
{
    for (const auto &[customer, configuration] : customers_) {
        for (const ServiceConfiguration &service : configuration->services_) {
            const ServiceKey key{customer, service.id_};
            services_.emplace(key, ServiceRoute{configuration, &service, catalog.findService(key)});
        }
    }
}

const ServiceRoute *RoutingTable::find(const ServiceKey &service) const
{
    const auto position = services_.find(service);
    return position == services_.end() ? nullptr : &position->second;
}

DispatchRight RoutingTable::rightTo(const ServerKey &server, const std::optional<KeyRange> &range, const std::string &key) const
{
    const ServiceRoute *route = find(server.service_);
    const ServerEntry *entry = route && route->record_ ? route->record_->findServer(server.server_) : nullptr;
    if (!entry || entry->dispatcher_ != self_) {
        return DispatchRight::NotDispatcher;
    }
    const ServerConfiguration *configuration = route->configuration_->findServer(server.server_);
    if (!configuration || !route->customer_->isServing(*configuration)) {
        return DispatchRight::NotServing;
    }
    if (closed_.servers_.contains(server)) {
        return DispatchRight::Closed;
    }
    const bool isKeyed = route->configuration_->kind_ == ServiceKind::Keyed;
    if (!isKeyed) {
        return range ? DispatchRight::NotDispatcher : DispatchRight::Granted;
    }
    if (!range || route->record_->rangeOf(key) != *range) {
        return DispatchRight::NotDispatcher;
    }
    const ServerEntry *owner = route->record_->ownerOf(*range);
    if (!owner || owner->server_ != server.server_) {
        return DispatchRight::NotDispatcher;
    }
    const auto closedRanges = closed_.ranges_.find(server.service_);
    const bool isClosed = closedRanges != closed_.ranges_.end() && closedRanges->second.contains(*range);
    return isClosed ? DispatchRight::Closed : DispatchRight::Granted;
}

} // namespace Goldcrestwall
