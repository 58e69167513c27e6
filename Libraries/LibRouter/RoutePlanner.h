// Selection of the backend server and the dispatcher for a request.
#pragma once

#include <LibAdmission/LibAdmission.h>
#include <LibCoordination/LibCoordination.h>

namespace Goldcrestwall {

// The destination of one attempt.
struct RoutePlan
{
    ServerKey server_;
    // Empty for shared services.
    std::optional<KeyRange> range_;
    Incarnation dispatcher_;
    // The address of the dispatcher's instance.
    std::string address_;
    // Version of the ownership record from which the plan was made.
    Version recordVersion_ = 0;

    auto operator<=>(const RoutePlan &) const = default;
};

// Plans the route of a request from the routing table. For shared services the selector chooses among the serving servers other than
// `avoid`. Errors: UnknownService, MissingKey, NoOwner.
Result<RoutePlan> planRoute(const RoutingTable &table,
                            const ServiceKey &service,
                            const std::string &key,
                            TargetSelector &selector,
                            const std::optional<ServerId> &avoid,
                            std::mt19937_64 &random,
                            TimePoint now);

} // namespace Goldcrestwall
