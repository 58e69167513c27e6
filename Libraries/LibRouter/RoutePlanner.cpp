// Route planner: owners of keys, and server selection for shared services.
#include <LibRouter/RoutePlanner.h>

namespace Goldcrestwall {

namespace {

Result<RoutePlan> planTo(const RoutingTable &table, const ServiceKey &service, const ServiceRoute &route, const ServerEntry &entry)
{
    const Member *member = table.cluster().find(entry.dispatcher_);
    if (!member) {
        return RouterError::NoOwner;
    }
    return RoutePlan{{service, entry.server_}, std::nullopt, entry.dispatcher_, member->address_, route.record_->version()};
}

} // namespace

Result<RoutePlan> planRoute(const RoutingTable &table,
                            const ServiceKey &service,
                            const std::string &key,
                            TargetSelector &selector,
                            const std::optional<ServerId> &avoid,
                            std::mt19937_64 &random,
                            TimePoint now)
{
    const ServiceRoute *route = table.find(service);
    if (!route) {
        return table.isComplete() ? RouterError::UnknownService : RouterError::NoOwner;
    }
    if (!route->record_) {
        return RouterError::NoOwner;
    }
    if (route->configuration_->kind_ == ServiceKind::Keyed) {
        if (key.empty()) {
            return RouterError::MissingKey;
        }
        const KeyRange range = route->record_->rangeOf(key);
        const ServerEntry *owner = route->record_->ownerOf(range);
        if (!owner) {
            return RouterError::NoOwner;
        }
        auto plan = planTo(table, service, *route, *owner);
        if (plan.isOk()) {
            plan.value().range_ = range;
        }
        return plan;
    }
    std::vector<ServerId> candidates;
    for (const ServerEntry &entry : route->record_->servers()) {
        const ServerConfiguration *server = route->configuration_->findServer(entry.server_);
        if (server && route->customer_->isServing(*server) && table.cluster().find(entry.dispatcher_)) {
            candidates.push_back(entry.server_);
        }
    }
    const auto chosen = selector.select(candidates, avoid, random, now);
    if (!chosen) {
        return RouterError::NoOwner;
    }
    return planTo(table, service, *route, *route->record_->findServer(*chosen));
}

} // namespace Goldcrestwall
